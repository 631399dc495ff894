package petrelplank.routing;

/** Passes the outcome of an attempt to all components that learn from it, in a fixed order. */
final class OutcomeRecorder {
    private final LoadReports loadReports;
    private final TransferTimeEstimator transferTimes;
    private final HedgingPolicy hedging;
    private final OriginCallMonitor originCalls;
    private final ConcurrencyLimiter limiter;
    private final FailureAttribution attribution;
    private final FillOutcomeRecorder fillOutcomes;
    private final EndpointOutcomeRecorder endpointOutcomes;

    OutcomeRecorder(
            LoadReports loadReports,
            TransferTimeEstimator transferTimes,
            HedgingPolicy hedging,
            OriginCallMonitor originCalls,
            ConcurrencyLimiter limiter,
            FailureAttribution attribution,
            FillOutcomeRecorder fillOutcomes,
            EndpointOutcomeRecorder endpointOutcomes) {
        this.loadReports = loadReports;
        this.transferTimes = transferTimes;
        this.hedging = hedging;
        this.originCalls = originCalls;
        this.limiter = limiter;
        this.attribution = attribution;
        this.fillOutcomes = fillOutcomes;
        this.endpointOutcomes = endpointOutcomes;
    }

    /** Records the outcome of an attempt that has just ended. */
    void record(RequestState request, AttemptState attempt, AttemptOutcome outcome, long now) {
        loadReports.record(attempt.endpoint, outcome.load());
        transferTimes.recordOutcome(request, attempt.endpoint, outcome);
        hedging.recordOutcome(request, attempt, outcome);
        Timeliness timeliness = hedging.timeliness(request, outcome);
        boolean originAtFault = originCalls.recordOutcome(request, attempt, outcome, timeliness, now);
        if (!originAtFault && (timeliness != Timeliness.FAILED || isRejectedByEndpoint(outcome))) {
            limiter.adapt(attempt, outcome, timeliness);
        }
        if (outcome.status() != AttemptStatus.NOT_SENT && outcome.status() != AttemptStatus.CANCELLED) {
            fillOutcomes.record(request, attempt, outcome, now);
            endpointOutcomes.record(request, attempt, outcome, now);
        }
    }

    private boolean isRejectedByEndpoint(AttemptOutcome outcome) {
        return outcome.status() == AttemptStatus.REJECTED && !attribution.isSourceAtFault(outcome);
    }
}
