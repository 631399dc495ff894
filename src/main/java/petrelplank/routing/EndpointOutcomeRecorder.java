package petrelplank.routing;

import petrelplank.routing.Endpoint.Role;
import petrelplank.routing.OutlierDetector.Evidence;

/**
 * Updates the state of the endpoint that an attempt was sent to, and excludes endpoints from the request's further
 * attempts.
 */
final class EndpointOutcomeRecorder {
    private final long connectTimeoutUs;
    private final OutlierDetector outliers;
    private final FailureAttribution attribution;
    private final CopyLocations copyLocations;

    EndpointOutcomeRecorder(
            long connectTimeoutUs,
            OutlierDetector outliers,
            FailureAttribution attribution,
            CopyLocations copyLocations) {
        this.connectTimeoutUs = connectTimeoutUs;
        this.outliers = outliers;
        this.attribution = attribution;
        this.copyLocations = copyLocations;
    }

    /** Records the outcome of an attempt that was sent and not cancelled. */
    void record(RequestState request, AttemptState attempt, AttemptOutcome outcome, long now) {
        boolean sourceFailed = attempt.source != attempt.endpoint
                && attribution.isSourceAtFault(outcome)
                && (outcome.status() != AttemptStatus.TIMEOUT || attempt.isFill());
        switch (outcome.status()) {
            case OK -> recordResponse(request, attempt, outcome, now);
            case CONNECT_FAILED -> recordConnectFailure(attempt, now);
            case REJECTED, MISS -> attribution.recordResponseTime(outcome.latencyUs());
            case RESET -> recordReset(attempt, now);
            default -> recordFailure(request, attempt, outcome, sourceFailed, now);
        }
        if (outcome.status() == AttemptStatus.MISS) {
            copyLocations.forgetObject(request.objectKey);
        }
        exclude(request, attempt, outcome.status(), sourceFailed);
    }

    private void recordResponse(RequestState request, AttemptState attempt, AttemptOutcome outcome, long now) {
        Endpoint endpoint = attempt.endpoint;
        outliers.recordSuccess(endpoint, now);
        endpoint.lastResponseUs = now;
        attribution.recordResponseTime(outcome.latencyUs() - request.transferUs);
        if (!request.isWrite() && endpoint.role == Role.LOCAL_CACHE) {
            copyLocations.record(request.objectKey, endpoint);
        }
    }

    private void recordConnectFailure(AttemptState attempt, long now) {
        Endpoint endpoint = attempt.endpoint;
        // A healthy cache whose connection table is full refuses new connections but still answers on existing ones; it
        // must not be ejected at once.
        boolean unresponsive = now - endpoint.lastResponseUs > connectTimeoutUs;
        Evidence evidence = unresponsive ? Evidence.CONCLUSIVE : Evidence.INCONCLUSIVE;
        outliers.recordFailure(endpoint, now, evidence, attempt.healthCheck);
        endpoint.ejection.connectFailed = true;
    }

    private void recordReset(AttemptState attempt, long now) {
        // A broken connection ends all attempts on it; they count as one failure, so that a single broken connection
        // does not eject a healthy endpoint.
        if (attempt.sentUs > attempt.endpoint.lastResetUs || attempt.healthCheck) {
            attempt.endpoint.lastResetUs = now;
            outliers.recordFailure(attempt.endpoint, now, Evidence.INCONCLUSIVE, attempt.healthCheck);
        }
    }

    private void recordFailure(
            RequestState request, AttemptState attempt, AttemptOutcome outcome, boolean sourceFailed, long now) {
        if (!sourceFailed && !request.hedged) {
            outliers.recordFailure(attempt.endpoint, now, Evidence.INCONCLUSIVE, attempt.healthCheck);
        }
        boolean unattributedError =
                outcome.status() == AttemptStatus.ERROR && outcome.cacheStatus() == CacheStatus.NONE;
        if (unattributedError && !attempt.healthCheck && request.recordError(attempt.endpoint)) {
            request.endpointsWithErrors.forEach(endpoint -> outliers.retractFailure(endpoint, now));
        }
    }

    private static void exclude(
            RequestState request, AttemptState attempt, AttemptStatus status, boolean sourceFailed) {
        boolean sourceUnusable = sourceFailed || status == AttemptStatus.MISS;
        if (sourceUnusable && attempt.source != attempt.endpoint && request.originAccess != OriginAccess.SAMPLED) {
            request.excludedEndpoints.add(attempt.source);
        }
        boolean endpointFailed = status != AttemptStatus.OK && status != AttemptStatus.MISS && !sourceFailed;
        if (status == AttemptStatus.TIMEOUT || endpointFailed) {
            request.excludedEndpoints.add(attempt.endpoint);
        }
    }
}
