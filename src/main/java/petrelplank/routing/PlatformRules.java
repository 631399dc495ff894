package petrelplank.routing;

/**
 * The platform's rules for draining, slow start, overload, purges and discovery.
 *
 * @param drainGraceUs time after which no new attempt may be sent to a draining or removed endpoint
 * @param slowStartFrom the fraction of its capacity that a cache has when it starts
 * @param slowStartUs time from its start after which a cache has its full capacity
 * @param overloadMultiple a cache in slow start fails if it is sent more than this multiple of its current capacity
 *     for {@code overloadUs}; 0 for no limit
 * @param overloadUs how long a cache in slow start withstands an overload; 0 for no limit
 * @param parentSlowStartFrom like {@code slowStartFrom}, for parents
 * @param parentSlowStartUs like {@code slowStartUs}, for parents
 * @param parentOverloadMultiple like {@code overloadMultiple}, for parents
 * @param originOverloadMultiple the multiple of its capacity at which the origin stops serving for a while; 0 for no
 *     limit
 * @param originOverloadUs how long the origin withstands that overload
 * @param purgeGraceUs time within which a purge has to take effect
 * @param purgeDoneUs time after which no copy older than the purge is left anywhere
 * @param pollIntervalUs the longest interval between polls of the endpoint list, if it has to be polled
 */
public record PlatformRules(
        long drainGraceUs,
        double slowStartFrom,
        long slowStartUs,
        double overloadMultiple,
        long overloadUs,
        double parentSlowStartFrom,
        long parentSlowStartUs,
        double parentOverloadMultiple,
        double originOverloadMultiple,
        long originOverloadUs,
        long purgeGraceUs,
        long purgeDoneUs,
        long pollIntervalUs) {
    /** Checks that the values are in range. */
    public PlatformRules {
        Checks.require(drainGraceUs >= 0, "drainGraceUs (must be 0 or more)", drainGraceUs);
        Checks.require(
                slowStartFrom >= 0 && slowStartFrom <= 1, "slowStartFrom (must be between 0 and 1)", slowStartFrom);
        Checks.require(slowStartUs >= 0, "slowStartUs (must be 0 or more)", slowStartUs);
        Checks.require(overloadMultiple >= 0, "overloadMultiple (must be 0 or more)", overloadMultiple);
        Checks.require(overloadUs >= 0, "overloadUs (must be 0 or more)", overloadUs);
        Checks.require(
                parentSlowStartFrom >= 0 && parentSlowStartFrom <= 1,
                "parentSlowStartFrom (must be between 0 and 1)",
                parentSlowStartFrom);
        Checks.require(parentSlowStartUs >= 0, "parentSlowStartUs (must be 0 or more)", parentSlowStartUs);
        Checks.require(
                parentOverloadMultiple >= 0, "parentOverloadMultiple (must be 0 or more)", parentOverloadMultiple);
        Checks.require(
                originOverloadMultiple >= 0, "originOverloadMultiple (must be 0 or more)", originOverloadMultiple);
        Checks.require(originOverloadUs >= 0, "originOverloadUs (must be 0 or more)", originOverloadUs);
        Checks.require(purgeGraceUs >= 0, "purgeGraceUs (must be 0 or more)", purgeGraceUs);
        Checks.require(purgeDoneUs >= 0, "purgeDoneUs (must be 0 or more)", purgeDoneUs);
        Checks.require(pollIntervalUs >= 0, "pollIntervalUs (must be 0 or more)", pollIntervalUs);
    }
}
