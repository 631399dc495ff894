package petrelplank.routing;

/**
 * The platform's rules for draining, slow start, overload, purges and discovery.
 *
 * @param drainGraceUs time after which no new attempt may be sent to a draining or removed endpoint
 * @param slowStartInitialFraction the fraction of its capacity that a cache has when it starts
 * @param slowStartDurationUs time from its start after which a cache has its full capacity
 * @param overloadMultiple a cache in slow start fails if it is sent more than this multiple of its current capacity
 *     for {@code overloadDurationUs}; 0 for no limit
 * @param overloadDurationUs how long a cache in slow start withstands an overload; 0 for no limit
 * @param parentSlowStartInitialFraction like {@code slowStartInitialFraction}, for parents
 * @param parentSlowStartDurationUs like {@code slowStartDurationUs}, for parents
 * @param parentOverloadMultiple like {@code overloadMultiple}, for parents
 * @param originOverloadMultiple the multiple of its capacity at which the origin stops serving for a while; 0 for no
 *     limit
 * @param originOverloadDurationUs how long the origin withstands that overload
 * @param purgeGraceUs time within which a purge has to take effect
 * @param purgeDoneUs time after which no copy older than the purge is left anywhere
 * @param pollIntervalUs the longest interval between polls of the endpoint list, if it has to be polled
 */
public record PlatformRules(
        long drainGraceUs,
        double slowStartInitialFraction,
        long slowStartDurationUs,
        double overloadMultiple,
        long overloadDurationUs,
        double parentSlowStartInitialFraction,
        long parentSlowStartDurationUs,
        double parentOverloadMultiple,
        double originOverloadMultiple,
        long originOverloadDurationUs,
        long purgeGraceUs,
        long purgeDoneUs,
        long pollIntervalUs) {
    /** Checks that the values are in range. */
    public PlatformRules {
        SettingChecks.require(drainGraceUs >= 0, "stop-sending-within-us (must be 0 or more)", drainGraceUs);
        SettingChecks.require(
                slowStartInitialFraction >= 0 && slowStartInitialFraction <= 1,
                "cold-from (must be 0 to 1)",
                slowStartInitialFraction);
        SettingChecks.require(slowStartDurationUs >= 0, "warm-after-us (must be 0 or more)", slowStartDurationUs);
        SettingChecks.require(overloadMultiple >= 0, "fall-multiple (must be 0 or more)", overloadMultiple);
        SettingChecks.require(overloadDurationUs >= 0, "fall-us (must be 0 or more)", overloadDurationUs);
        SettingChecks.require(
                parentSlowStartInitialFraction >= 0 && parentSlowStartInitialFraction <= 1,
                "parent-cold-from (must be 0 to 1)",
                parentSlowStartInitialFraction);
        SettingChecks.require(
                parentSlowStartDurationUs >= 0, "parent-cold-us (must be 0 or more)", parentSlowStartDurationUs);
        SettingChecks.require(
                parentOverloadMultiple >= 0, "parent-breaks-at (must be 0 or more)", parentOverloadMultiple);
        SettingChecks.require(
                originOverloadMultiple >= 0, "root-fall-multiple (must be 0 or more)", originOverloadMultiple);
        SettingChecks.require(
                originOverloadDurationUs >= 0, "origin-over-for-us (must be 0 or more)", originOverloadDurationUs);
        SettingChecks.require(purgeGraceUs >= 0, "notice-time-us (must be 0 or more)", purgeGraceUs);
        SettingChecks.require(purgeDoneUs >= 0, "purge-done-us (must be 0 or more)", purgeDoneUs);
        SettingChecks.require(pollIntervalUs >= 0, "ask-every-us (must be 0 or more)", pollIntervalUs);
    }
}
