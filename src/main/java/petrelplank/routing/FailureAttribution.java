package petrelplank.routing;

/** Whose fault a failed attempt is: the endpoint's, its source's or the origin's. */
final class FailureAttribution {
    /** A rejection slower than this multiple of the quickest response may have come from the source. */
    private static final double SLOW_REJECTION = 4;

    /** Whether cache statuses tell failures of sources and of the origin. */
    private final boolean failuresTold;

    private double quickestResponseUs = Double.MAX_VALUE;

    FailureAttribution(CacheStatusDetail detail) {
        this.failuresTold = detail == CacheStatusDetail.ALL;
    }

    /** An endpoint answered in so much time beside the transfer. */
    void recordResponseTime(double responseUs) {
        quickestResponseUs = Math.min(quickestResponseUs, Math.max(1, responseUs));
    }

    /** Whether the source failed; where that is not told, a rejection too fast to have asked it is the cache's. */
    boolean isSourceAtFault(AttemptOutcome outcome) {
        return switch (outcome.cacheStatus()) {
            case SOURCE_REJECTED, SOURCE_UNREACHABLE, ORIGIN_FAILED -> true;
            case FILL_LIMIT_REACHED, SOURCE_MISS -> false;
            default -> outcome.status() == AttemptStatus.TIMEOUT || isSlowRejection(outcome);
        };
    }

    private boolean isSlowRejection(AttemptOutcome outcome) {
        return outcome.status() == AttemptStatus.REJECTED
                && !failuresTold
                && outcome.latencyUs() > SLOW_REJECTION * quickestResponseUs;
    }

    /** Whether the origin may have rejected a call, by way of a source or not. */
    boolean mayBeOriginRejection(AttemptOutcome outcome) {
        boolean untold = !failuresTold
                && (outcome.status() == AttemptStatus.REJECTED || outcome.status() == AttemptStatus.ERROR);
        return outcome.status() != AttemptStatus.TIMEOUT && (isSourceAtFault(outcome) || untold);
    }
}
