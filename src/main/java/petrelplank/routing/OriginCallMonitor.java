package petrelplank.routing;

import petrelplank.routing.Endpoint.Role;

/** Judges from attempts whether they called the origin, and reports to the {@link OriginLoadShedder} how calls went. */
final class OriginCallMonitor {
    /** Part of the latency objective: calls that wait longer tell of a queue at the origin. */
    private static final double QUEUEING_WAIT = 0.5;

    private final EndpointRegistry endpoints;
    private final OriginLoadShedder shedder;
    private final FailureAttribution attribution;
    private final ZoneLink zoneLink;
    /** Whether cache statuses report fills by way of the origin, and waits for the source. */
    private final boolean originFillsReported;

    OriginCallMonitor(
            CacheStatusDetail detail,
            EndpointRegistry endpoints,
            OriginLoadShedder shedder,
            FailureAttribution attribution,
            ZoneLink zoneLink) {
        this.endpoints = endpoints;
        this.shedder = shedder;
        this.attribution = attribution;
        this.zoneLink = zoneLink;
        this.originFillsReported = detail == CacheStatusDetail.ALL;
    }

    /** An attempt has no response yet: its lateness is held against the origin once. */
    void checkLateness(RequestState request, AttemptState attempt, long now) {
        if (!request.latenessCounted
                && mayCall(request, attempt)
                && now > attempt.sentUs + request.latencyObjectiveUs()) {
            request.latenessCounted = true;
            shedder.recordCall(now, false);
        }
    }

    /** Takes in an outcome; whether it came late or failed behind the origin, and so tells nothing of own limits. */
    boolean recordOutcome(
            RequestState request, AttemptState attempt, AttemptOutcome outcome, Timeliness timeliness, long now) {
        boolean linkCongested = isOriginLinkCongested(request, attempt, outcome, timeliness);
        boolean called = linkCongested || hasCalled(request, attempt, outcome, timeliness);
        boolean failed = request.isWrite() || timeliness == Timeliness.FAILED || linkCongested;
        boolean originAtFault = called && timeliness != Timeliness.IN_TIME && (failed || isLinkFree(outcome, now));
        sampleAfterMiss(request, attempt, outcome, now);
        if (called && !request.latenessCounted && mayCount(request, now)) {
            boolean answered = outcome.status() == AttemptStatus.OK;
            shedder.recordCall(now, answered && !originAtFault && isPrompt(request, outcome));
        }
        request.latenessCounted = false;
        return originAtFault;
    }

    /** While calls are limited, only those of requests that may make them tell of the origin. */
    private boolean mayCount(RequestState request, long now) {
        return request.originAccess.isSampled() || request.isWrite() || !shedder.isShedding(now);
    }

    /** Whether an attempt calls the origin as far as one knows; where statuses report it, fills wait for the status. */
    private boolean mayCall(RequestState request, AttemptState attempt) {
        boolean mayFillThere = attempt.source == endpoints.origin() || !originFillsReported;
        return request.isWrite() || attempt.isFill() && mayFillThere;
    }

    private boolean hasCalled(
            RequestState request, AttemptState attempt, AttemptOutcome outcome, Timeliness timeliness) {
        CacheStatus cacheStatus = outcome.cacheStatus();
        boolean reported = cacheStatus == CacheStatus.FILLED_FROM_ORIGIN || cacheStatus == CacheStatus.ORIGIN_FAILED;
        boolean likely = mayCall(request, attempt) && !cacheStatus.isCopy();
        return reported || likely && (timeliness != Timeliness.FAILED || attribution.mayBeOriginRejection(outcome));
    }

    /**
     * Guards the origin's link: under congestion a first byte comes soon, then little, or nothing while others are
     * served.
     */
    private boolean isOriginLinkCongested(
            RequestState request, AttemptState attempt, AttemptOutcome outcome, Timeliness timeliness) {
        if (outcome.cacheStatus() == CacheStatus.FILLED_FROM_ORIGIN) {
            double usual = Math.max(attempt.source.fillSlowness, zoneLink.reportedUse());
            return SlowSourceDetector.slowness(request, outcome) > SlowSourceDetector.TOO_SLOW * usual;
        }
        return attempt.isFill()
                && outcome.status() == AttemptStatus.TIMEOUT
                && timeliness == Timeliness.FAILED
                && Math.min(attempt.endpoint.lastResponseUs, attempt.source.lastResponseUs) > attempt.sentUs;
    }

    /**
     * After an attempt with only what parents hold, the request's sampling key tells whether it may call the origin.
     */
    private void sampleAfterMiss(RequestState request, AttemptState attempt, AttemptOutcome outcome, long now) {
        if (request.originAccess.isOnlyIfCached()
                && outcome.status() == AttemptStatus.MISS
                && attempt.source.role == Role.PARENT
                && request.excluded.isEmpty()) {
            request.originAccess = shedder.isSampled(request, now) ? OriginAccess.SAMPLED : OriginAccess.WITHHELD;
        }
    }

    /** Whether a late fill was late behind its source: by its reported wait, or since the zone's link has room. */
    private boolean isLinkFree(AttemptOutcome outcome, long now) {
        return originFillsReported ? 2 * outcome.sourceWaitUs() > outcome.latencyUs() : zoneLink.isLittleUsed(now);
    }

    /** Whether the call was answered so soon that no queue has formed at the origin. */
    private static boolean isPrompt(RequestState request, AttemptOutcome outcome) {
        double waitUs = outcome.sourceWaitUs() > 0 ? outcome.sourceWaitUs() : outcome.latencyUs() - request.transferUs;
        return waitUs <= QUEUEING_WAIT * request.latencyObjectiveUs();
    }
}
