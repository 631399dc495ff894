package petrelplank.routing;

/** Whose fault a failed attempt is: the endpoint's, its source's or the origin's. */
final class FailureAttribution {
    /** A rejection slower than this multiple of the quickest response may have come from the source. */
    private static final double SLOW_REJECTION = 4;

    /** Whether cache statuses report failures of sources and of the origin. */
    private final boolean failuresReported;

    private double quickestResponseUs = Double.MAX_VALUE;

    FailureAttribution(CacheStatusDetail detail) {
        this.failuresReported = detail == CacheStatusDetail.ALL;
    }

    /** An endpoint answered in so much time beside the transfer. */
    void recordResponseTime(double responseUs) {
        quickestResponseUs = Math.min(quickestResponseUs, Math.max(1, responseUs));
    }

    /** Whether the source failed; without a status of it, a rejection too quick to have involved it is the cache's. */
    boolean isSourceAtFault(AttemptOutcome outcome) {
        return switch (outcome.cacheStatus()) {
            case SOURCE_REJECTED, SOURCE_UNREACHABLE, ORIGIN_FAILED -> true;
            case FILL_LIMIT_REACHED, SOURCE_MISS -> false;
            default -> outcome.status() == AttemptStatus.TIMEOUT || isSlowRejection(outcome);
        };
    }

    private boolean isSlowRejection(AttemptOutcome outcome) {
        return outcome.status() == AttemptStatus.REJECTED
                && !failuresReported
                && outcome.latencyUs() > SLOW_REJECTION * quickestResponseUs;
    }

    /** Whether the origin may have rejected a call, by way of a source or not. */
    boolean mayBeOriginRejection(AttemptOutcome outcome) {
        boolean unknown = !failuresReported
                && (outcome.status() == AttemptStatus.REJECTED || outcome.status() == AttemptStatus.ERROR);
        return outcome.status() != AttemptStatus.TIMEOUT && (isSourceAtFault(outcome) || unknown);
    }
}
