package petrelplank.routing;

/** Attributes a failed attempt to the endpoint, to its fill source or to the origin. */
final class FailureAttribution {
    /** A rejection that took longer than this multiple of the fastest response may have come from the source. */
    private static final double SLOW_REJECTION_FACTOR = 4;

    /** Whether cache statuses report failures of fill sources and of the origin. */
    private final boolean sourceFailuresReported;

    private double fastestResponseUs = Double.MAX_VALUE;

    FailureAttribution(CacheStatusDetail detail) {
        this.sourceFailuresReported = detail == CacheStatusDetail.ALL;
    }

    /** Records an endpoint's response time, excluding the transfer time. */
    void recordResponseTime(double responseUs) {
        fastestResponseUs = Math.min(fastestResponseUs, Math.max(1, responseUs));
    }

    /**
     * Whether the source is at fault. If the response does not say, a rejection too fast to have involved the source is
     * attributed to the cache.
     */
    boolean isSourceAtFault(AttemptOutcome outcome) {
        return switch (outcome.cacheStatus()) {
            case SOURCE_REJECTED, SOURCE_UNREACHABLE, ORIGIN_FAILED -> true;
            case FILL_LIMIT_REACHED, SOURCE_MISS -> false;
            default -> outcome.status() == AttemptStatus.TIMEOUT || isSlowRejection(outcome);
        };
    }

    private boolean isSlowRejection(AttemptOutcome outcome) {
        return outcome.status() == AttemptStatus.REJECTED
                && !sourceFailuresReported
                && outcome.latencyUs() > SLOW_REJECTION_FACTOR * fastestResponseUs;
    }

    /** Whether the origin may have rejected the call, directly or through a source. */
    boolean mayBeOriginRejection(AttemptOutcome outcome) {
        boolean unattributed = !sourceFailuresReported
                && (outcome.status() == AttemptStatus.REJECTED || outcome.status() == AttemptStatus.ERROR);
        return outcome.status() != AttemptStatus.TIMEOUT && (isSourceAtFault(outcome) || unattributed);
    }
}
