package petrelplank.routing;

/** Decides whether a failed attempt is the fault of the fill source, and whether it may come from the origin. */
final class FailureAttribution {
    /** A rejection may come from the source if it took this many times as long as any endpoint's fastest response. */
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
     * Whether the fill source or the origin is at fault. If the cache status does not tell, timeouts are attributed to
     * the source. So are slow rejections, if cache statuses do not report source failures; a rejection too fast to have
     * involved the source is attributed to the cache.
     */
    boolean isSourceAtFault(AttemptOutcome outcome) {
        return switch (outcome.cacheStatus()) {
            case SOURCE_REJECTED, SOURCE_UNREACHABLE, ORIGIN_FAILED -> true;
            case FILL_LIMIT_REACHED, SOURCE_MISS -> false;
            default -> outcome.status() == AttemptStatus.TIMEOUT || mayBeSourceRejection(outcome);
        };
    }

    private boolean mayBeSourceRejection(AttemptOutcome outcome) {
        return outcome.status() == AttemptStatus.REJECTED
                && !sourceFailuresReported
                && outcome.latencyUs() > SLOW_REJECTION_FACTOR * fastestResponseUs;
    }

    /**
     * Whether the failure may come from the origin, directly or through a source: any failure of the source except a
     * timeout, and, if cache statuses do not report source failures, any rejection or error.
     */
    boolean mayBeOriginFailure(AttemptOutcome outcome) {
        boolean unattributed = !sourceFailuresReported
                && (outcome.status() == AttemptStatus.REJECTED || outcome.status() == AttemptStatus.ERROR);
        return outcome.status() != AttemptStatus.TIMEOUT && (isSourceAtFault(outcome) || unattributed);
    }
}
