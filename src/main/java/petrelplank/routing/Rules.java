package petrelplank.routing;

/**
 * Figures of the rules.
 *
 * @param drainGraceUs sends to a draining or gone server stop within this
 * @param coldFrom part of its capacity with which a cache starts, at least
 * @param warmUs it has all of it after this, at most
 * @param fallMultiple sent more than this multiple of its present capacity
 * @param fallUs for this long, a cold server falls over
 * @param parentColdFrom as {@code coldFrom}, for parents
 * @param parentWarmUs as {@code warmUs}, for parents
 * @param parentFallMultiple as {@code fallMultiple}, for parents
 * @param originFallMultiple overload at which the origin stops for a while; 0 for none
 * @param originFallUs for how long it bears that
 * @param purgeGraceUs time to heed a purge
 * @param purgeDoneUs after this no older copy is left anywhere
 * @param askEveryUs where the roster must be asked for: at least this often
 */
public record Rules(
        long drainGraceUs,
        double coldFrom,
        long warmUs,
        double fallMultiple,
        long fallUs,
        double parentColdFrom,
        long parentWarmUs,
        double parentFallMultiple,
        double originFallMultiple,
        long originFallUs,
        long purgeGraceUs,
        long purgeDoneUs,
        long askEveryUs) {
    /** Checks the figures. */
    public Rules {
        Checks.require(drainGraceUs >= 0, "drainGraceUs (must be 0 or more)", drainGraceUs);
        Checks.require(coldFrom >= 0 && coldFrom <= 1, "coldFrom (must be 0 to 1)", coldFrom);
        Checks.require(warmUs >= 0, "warmUs (must be 0 or more)", warmUs);
        Checks.require(fallMultiple >= 0, "fallMultiple (must be 0 or more)", fallMultiple);
        Checks.require(fallUs >= 0, "fallUs (must be 0 or more)", fallUs);
        Checks.require(parentColdFrom >= 0 && parentColdFrom <= 1, "parentColdFrom (must be 0 to 1)", parentColdFrom);
        Checks.require(parentWarmUs >= 0, "parentWarmUs (must be 0 or more)", parentWarmUs);
        Checks.require(parentFallMultiple >= 0, "parentFallMultiple (must be 0 or more)", parentFallMultiple);
        Checks.require(originFallMultiple >= 0, "originFallMultiple (must be 0 or more)", originFallMultiple);
        Checks.require(originFallUs >= 0, "originFallUs (must be 0 or more)", originFallUs);
        Checks.require(purgeGraceUs >= 0, "purgeGraceUs (must be 0 or more)", purgeGraceUs);
        Checks.require(purgeDoneUs >= 0, "purgeDoneUs (must be 0 or more)", purgeDoneUs);
        Checks.require(askEveryUs >= 0, "askEveryUs (must be 0 or more)", askEveryUs);
    }
}
