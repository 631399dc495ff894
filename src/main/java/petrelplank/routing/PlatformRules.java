package petrelplank.routing;

/**
 * Figures of the platform's rules: draining, slow start, overload, purges, discovery.
 *
 * @param drainGraceUs nothing new may be sent to a draining or removed endpoint after this
 * @param slowStartFrom least part of its capacity with which a cache starts
 * @param slowStartUs after this a cache has all of its capacity
 * @param overloadMultiple a cache in slow start that is sent more than this multiple of its present capacity
 * @param overloadUs for this long fails
 * @param parentSlowStartFrom as {@code slowStartFrom}, for parents
 * @param parentSlowStartUs as {@code slowStartUs}, for parents
 * @param parentOverloadMultiple as {@code overloadMultiple}, for parents
 * @param originOverloadMultiple overload at which the origin stops serving for a while; 0 for none
 * @param originOverloadUs how long the origin withstands that
 * @param purgeGraceUs time in which a purge has to take effect
 * @param purgeDoneUs after this no older copy is left anywhere
 * @param pollIntervalUs where the endpoint list has to be polled: the longest interval
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
    /** Checks the values. */
    public PlatformRules {
        Checks.require(drainGraceUs >= 0, "drainGraceUs (must be 0 or more)", drainGraceUs);
        Checks.require(slowStartFrom >= 0 && slowStartFrom <= 1, "coldFrom (must be 0 to 1)", slowStartFrom);
        Checks.require(slowStartUs >= 0, "warmUs (must be 0 or more)", slowStartUs);
        Checks.require(overloadMultiple >= 0, "fallMultiple (must be 0 or more)", overloadMultiple);
        Checks.require(overloadUs >= 0, "fallUs (must be 0 or more)", overloadUs);
        Checks.require(
                parentSlowStartFrom >= 0 && parentSlowStartFrom <= 1,
                "parentColdFrom (must be 0 to 1)",
                parentSlowStartFrom);
        Checks.require(parentSlowStartUs >= 0, "parentWarmUs (must be 0 or more)", parentSlowStartUs);
        Checks.require(parentOverloadMultiple >= 0, "parentFallMultiple (must be 0 or more)", parentOverloadMultiple);
        Checks.require(originOverloadMultiple >= 0, "originFallMultiple (must be 0 or more)", originOverloadMultiple);
        Checks.require(originOverloadUs >= 0, "originFallUs (must be 0 or more)", originOverloadUs);
        Checks.require(purgeGraceUs >= 0, "purgeGraceUs (must be 0 or more)", purgeGraceUs);
        Checks.require(purgeDoneUs >= 0, "purgeDoneUs (must be 0 or more)", purgeDoneUs);
        Checks.require(pollIntervalUs >= 0, "askEveryUs (must be 0 or more)", pollIntervalUs);
    }
}
