package petrelplank.routing;

import petrelplank.routing.Endpoint.Role;

/**
 * Infers from the outcomes of attempts whether they called the origin, and reports to the {@link OriginLoadShedder}
 * whether those calls succeeded.
 */
final class OriginCallMonitor {
    /** Fraction of the latency objective; a call that waits longer than this indicates a queue at the origin. */
    private static final double QUEUEING_WAIT_FRACTION = 0.5;

    private final EndpointRegistry endpoints;
    private final OriginLoadShedder shedder;
    private final FailureAttribution attribution;
    private final ZoneLink zoneLink;
    /** Whether cache statuses report fills from the origin, and responses report the wait for the source. */
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

    /** Checks an attempt that has no response yet; if it is late, this counts once as a failed call of the origin. */
    void recordIfLate(RequestState request, AttemptState attempt, long now) {
        if (!request.countedAsLateOriginCall
                && mayCallOrigin(request, attempt)
                && now > attempt.sentUs + request.latencyObjectiveUs()) {
            request.countedAsLateOriginCall = true;
            shedder.recordCall(now, false);
        }
    }

    /**
     * Records an outcome.
     *
     * @return whether the origin caused the delay or failure, in which case the outcome must not change the concurrency
     *     limits of this proxy
     */
    boolean recordOutcome(
            RequestState request, AttemptState attempt, AttemptOutcome outcome, Timeliness timeliness, long now) {
        boolean linkCongested = isOriginLinkCongested(request, attempt, outcome, timeliness);
        boolean calledOrigin = linkCongested || hasCalledOrigin(request, attempt, outcome, timeliness);
        boolean failed = request.isWrite() || timeliness == Timeliness.FAILED || linkCongested;
        boolean originAtFault =
                calledOrigin && timeliness != Timeliness.IN_TIME && (failed || isDelayedAtSource(outcome, now));
        sampleAfterMiss(request, attempt, outcome, now);
        if (calledOrigin && !request.countedAsLateOriginCall && countsForShedding(request, now)) {
            boolean answered = outcome.status() == AttemptStatus.OK;
            shedder.recordCall(now, answered && !originAtFault && isAnsweredPromptly(request, outcome));
        }
        request.countedAsLateOriginCall = false;
        return originAtFault;
    }

    /** Whether the call counts: during load shedding, only calls of sampled requests and writes do. */
    private boolean countsForShedding(RequestState request, long now) {
        return request.originAccess.isSampled() || request.isWrite() || !shedder.isShedding(now);
    }

    /**
     * Whether an attempt may call the origin, as far as this is known before its outcome. If cache statuses report
     * calls of the origin, a fill from a parent is assumed not to call it until its status says so.
     */
    private boolean mayCallOrigin(RequestState request, AttemptState attempt) {
        boolean mayFillFromOrigin = attempt.source == endpoints.origin() || !originFillsReported;
        return request.isWrite() || attempt.isFill() && mayFillFromOrigin;
    }

    private boolean hasCalledOrigin(
            RequestState request, AttemptState attempt, AttemptOutcome outcome, Timeliness timeliness) {
        CacheStatus cacheStatus = outcome.cacheStatus();
        boolean reported = cacheStatus == CacheStatus.FILLED_FROM_ORIGIN || cacheStatus == CacheStatus.ORIGIN_FAILED;
        boolean likely = mayCallOrigin(request, attempt) && !cacheStatus.isCopy();
        return reported || likely && (timeliness != Timeliness.FAILED || attribution.mayBeOriginFailure(outcome));
    }

    /**
     * Whether the origin's link is congested: the first byte of a fill arrives soon but the rest arrives slowly, or no
     * response arrives at all while cache and source answer other requests.
     */
    private boolean isOriginLinkCongested(
            RequestState request, AttemptState attempt, AttemptOutcome outcome, Timeliness timeliness) {
        if (outcome.cacheStatus() == CacheStatus.FILLED_FROM_ORIGIN) {
            double usualSlowness = Math.max(attempt.source.fillSlowness, zoneLink.reportedUtilization());
            return SlowSourceDetector.slowness(request, outcome) > SlowSourceDetector.MAX_SLOWNESS * usualSlowness;
        }
        return attempt.isFill()
                && outcome.status() == AttemptStatus.TIMEOUT
                && timeliness == Timeliness.FAILED
                && Math.min(attempt.endpoint.lastResponseUs, attempt.source.lastResponseUs) > attempt.sentUs;
    }

    /**
     * After a miss at a parent that could serve only cached copies, decides by the request's sampling key whether the
     * request may call the origin.
     */
    private void sampleAfterMiss(RequestState request, AttemptState attempt, AttemptOutcome outcome, long now) {
        if (request.originAccess.isOnlyIfCached()
                && outcome.status() == AttemptStatus.MISS
                && attempt.source.role == Role.PARENT
                && request.excludedEndpoints.isEmpty()) {
            request.originAccess = shedder.isSampled(request, now) ? OriginAccess.SAMPLED : OriginAccess.WITHHELD;
        }
    }

    /**
     * Whether the delay of a late fill arose at or behind its source and not on the zone's link: the reported wait for
     * the source is most of the latency or, if waits are not reported, the zone's link is mostly unused.
     */
    private boolean isDelayedAtSource(AttemptOutcome outcome, long now) {
        return originFillsReported ? 2 * outcome.sourceWaitUs() > outcome.latencyUs() : zoneLink.isMostlyUnused(now);
    }

    /** Whether the response came soon enough to rule out a queue at the origin. */
    private static boolean isAnsweredPromptly(RequestState request, AttemptOutcome outcome) {
        double waitUs = outcome.sourceWaitUs() > 0 ? outcome.sourceWaitUs() : outcome.latencyUs() - request.transferUs;
        return waitUs <= QUEUEING_WAIT_FRACTION * request.latencyObjectiveUs();
    }
}
