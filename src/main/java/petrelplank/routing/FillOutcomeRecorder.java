package petrelplank.routing;

import petrelplank.routing.Endpoint.Role;
import petrelplank.routing.OutlierDetector.Evidence;

/** Learns from attempts with a fill source: the source's Q value, its transfer rate and its failures. */
final class FillOutcomeRecorder {
    private final CacheStatusDetail cacheStatusDetail;
    private final FillSourceSelector sourceSelector;
    private final SlowSourceDetector slowSourceDetector;
    private final OutlierDetector outliers;
    private final FailureAttribution attribution;
    private final ZoneLink zoneLink;

    FillOutcomeRecorder(
            CacheStatusDetail cacheStatusDetail,
            FillSourceSelector sourceSelector,
            SlowSourceDetector slowSourceDetector,
            OutlierDetector outliers,
            FailureAttribution attribution,
            ZoneLink zoneLink) {
        this.cacheStatusDetail = cacheStatusDetail;
        this.sourceSelector = sourceSelector;
        this.slowSourceDetector = slowSourceDetector;
        this.outliers = outliers;
        this.attribution = attribution;
        this.zoneLink = zoneLink;
    }

    /** Records the outcome of an attempt; one without a separate source at a cache is ignored. */
    void record(RequestState request, AttemptState attempt, AttemptOutcome outcome, long now) {
        if (attempt.source == attempt.endpoint && attempt.endpoint.role == Role.LOCAL_CACHE) {
            return;
        }
        if (outcome.status() == AttemptStatus.OK) {
            if (cameThroughSource(outcome)) {
                recordFill(request, attempt, outcome, now);
            }
        } else if (attribution.isSourceAtFault(outcome)) {
            recordFailure(request, attempt, outcome, now);
        }
    }

    /** Whether the response came through the source; assumed if cache statuses are not reported. */
    private boolean cameThroughSource(AttemptOutcome outcome) {
        return outcome.cacheStatus().isFill()
                || cacheStatusDetail == CacheStatusDetail.NONE && outcome.cacheStatus() == CacheStatus.NONE;
    }

    private void recordFill(RequestState request, AttemptState attempt, AttemptOutcome outcome, long now) {
        Endpoint source = attempt.source;
        double sourceWaitUs = outcome.sourceWaitUs() > 0
                ? outcome.sourceWaitUs()
                : Math.max(0, outcome.latencyUs() - request.transferUs);
        source.lastResponseUs = now;
        sourceSelector.recordFill(source, request, sourceWaitUs);
        if (source.role != Role.PARENT) {
            return;
        }
        zoneLink.recordFill(now, request.transferUs);
        if (!showsTransferRate(request, outcome) || !slowSourceDetector.recordFill(source, request, outcome)) {
            outliers.recordSuccess(source, now);
        } else if (!source.ejection.ejected || attempt.healthCheck) {
            outliers.recordFailure(source, now, Evidence.CONCLUSIVE, attempt.healthCheck);
        }
    }

    /**
     * Whether the fill shows the source's transfer rate. It does not if the size is unknown, or if the fill came from
     * the origin, because then the origin's link may be the slow one.
     */
    private static boolean showsTransferRate(RequestState request, AttemptOutcome outcome) {
        return !(request.clientRequest.sizeKb() + outcome.sizeKb() <= 0)
                && outcome.cacheStatus() != CacheStatus.FILLED_FROM_ORIGIN;
    }

    private void recordFailure(RequestState request, AttemptState attempt, AttemptOutcome outcome, long now) {
        Endpoint source = attempt.source;
        sourceSelector.recordFailure(source, request);
        // When the request was hedged, the unresponsive attempt was already recorded as a failure.
        boolean alreadyRecorded = request.hedged && attempt == request.unresponsiveAttempt;
        if (outcome.cacheStatus() != CacheStatus.ORIGIN_FAILED && source.role == Role.PARENT && !alreadyRecorded) {
            boolean unreachable = outcome.status() == AttemptStatus.REJECTED
                    && outcome.cacheStatus() == CacheStatus.SOURCE_UNREACHABLE;
            Evidence evidence = unreachable ? Evidence.CONCLUSIVE : Evidence.INCONCLUSIVE;
            outliers.recordFailure(source, now, evidence, attempt.healthCheck);
        }
    }
}
