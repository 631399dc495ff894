package petrelplank.routing;

import petrelplank.routing.Endpoint.Role;
import petrelplank.routing.OutlierDetector.Evidence;

/** Learns from attempts with a fill source: the source's Q value, its transfer rate and its failures. */
final class FillOutcomeRecorder {
    private final CacheStatusDetail detail;
    private final FillSourceSelector sources;
    private final SlowSourceDetector slowSources;
    private final OutlierDetector outliers;
    private final FailureAttribution attribution;
    private final ZoneLink zoneLink;

    FillOutcomeRecorder(
            CacheStatusDetail detail,
            FillSourceSelector sources,
            SlowSourceDetector slowSources,
            OutlierDetector outliers,
            FailureAttribution attribution,
            ZoneLink zoneLink) {
        this.detail = detail;
        this.sources = sources;
        this.slowSources = slowSources;
        this.outliers = outliers;
        this.attribution = attribution;
        this.zoneLink = zoneLink;
    }

    /** Records the outcome of an attempt; one without a separate source at a cache is ignored. */
    void record(RequestState request, AttemptState attempt, AttemptOutcome outcome, long now) {
        if (attempt.source == attempt.endpoint && attempt.endpoint.role == Role.EDGE) {
            return;
        }
        if (outcome.status() == AttemptStatus.OK) {
            if (isFill(outcome)) {
                recordFill(request, attempt, outcome, now);
            }
        } else if (attribution.isSourceAtFault(outcome)) {
            recordFailure(request, attempt, outcome, now);
        }
    }

    /** Whether the response came through the source; assumed if cache statuses are not reported. */
    private boolean isFill(AttemptOutcome outcome) {
        return outcome.cacheStatus().isFill()
                || detail == CacheStatusDetail.NONE && outcome.cacheStatus() == CacheStatus.NONE;
    }

    private void recordFill(RequestState request, AttemptState attempt, AttemptOutcome outcome, long now) {
        Endpoint source = attempt.source;
        double waitUs = outcome.sourceWaitUs() > 0
                ? outcome.sourceWaitUs()
                : Math.max(0, outcome.latencyUs() - request.transferUs);
        source.lastResponseUs = now;
        sources.recordFill(source, request, waitUs);
        if (source.role != Role.PARENT) {
            return;
        }
        zoneLink.recordFill(now, request.transferUs);
        if (!isPaceKnown(request, outcome) || !slowSources.recordFill(source, request, outcome)) {
            outliers.recordSuccess(source, now);
        } else if (!source.ejection.ejected || attempt.healthCheck) {
            outliers.recordFailure(source, now, Evidence.CONCLUSIVE, attempt.healthCheck);
        }
    }

    /**
     * Whether the fill shows the source's transfer rate. It does not if the size is unknown, or if the fill came from
     * the origin, because then the origin's link may be the slow one.
     */
    private static boolean isPaceKnown(RequestState request, AttemptOutcome outcome) {
        return !(request.request.sizeKb() + outcome.sizeKb() <= 0)
                && outcome.cacheStatus() != CacheStatus.FILLED_FROM_ORIGIN;
    }

    private void recordFailure(RequestState request, AttemptState attempt, AttemptOutcome outcome, long now) {
        Endpoint source = attempt.source;
        sources.recordFailure(source, request);
        boolean counted = request.hedged && attempt == request.unresponsiveAttempt;
        if (outcome.cacheStatus() != CacheStatus.ORIGIN_FAILED && source.role == Role.PARENT && !counted) {
            boolean unreachable = outcome.status() == AttemptStatus.REJECTED
                    && outcome.cacheStatus() == CacheStatus.SOURCE_UNREACHABLE;
            Evidence evidence = unreachable ? Evidence.CONCLUSIVE : Evidence.INCONCLUSIVE;
            outliers.recordFailure(source, now, evidence, attempt.healthCheck);
        }
    }
}
