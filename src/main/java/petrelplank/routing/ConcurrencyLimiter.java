package petrelplank.routing;

/**
 * Adaptive concurrency: once responses come late, less is let out at once, to the cache where it was a copy, into the
 * zone where it was a fill. Silence is not load, nor is what is late while reports show room.
 */
final class ConcurrencyLimiter {
    private final ZoneLink zoneLink;
    private final ConcurrencyLimit fills;

    ConcurrencyLimiter(double zoneGateways, ZoneLink zoneLink) {
        this.zoneLink = zoneLink;
        this.fills = new ConcurrencyLimit(zoneGateways);
    }

    /** Whether one more fill fits: under the limit, or the zone's link was last reported to have room. */
    boolean mayFill(RequestState request) {
        return fills.hasRoom(request) || zoneLink.hasReportedRoom();
    }

    /** Whether the cache may take one more attempt of the request. */
    static boolean mayTake(Endpoint cache, RequestState request) {
        return cache.limit.hasRoom(request) || cache.hasRoomSinceReport();
    }

    /** The attempt takes its place under the limits. */
    void acquire(AttemptState attempt) {
        attempt.endpoint.limit.inFlight++;
        fills.inFlight += attempt.isFill() ? 1 : 0;
    }

    /** The attempt gives its place back. */
    void release(AttemptState attempt) {
        attempt.endpoint.limit.inFlight--;
        fills.inFlight -= attempt.isFill() ? 1 : 0;
    }

    /** Adapts the limit that the attempt was under; a late response counts only where no report shows room. */
    void adapt(AttemptState attempt, AttemptOutcome outcome, Timeliness timeliness) {
        boolean overLink = isFillOverLink(attempt, outcome);
        Endpoint endpoint = attempt.endpoint;
        double use = overLink ? zoneLink.reportedUse() : endpoint.reportedLoad.inFlight / endpoint.weight;
        boolean inTime = timeliness == Timeliness.IN_TIME;
        if (inTime || use < 0 || use > ReportedLoad.OVERLOAD) {
            (overLink ? fills : endpoint.limit).adapt(inTime);
        }
    }

    /**
     * Whether the zone's link, and not the cache, tells of the attempt's time: it was a fill, and the cache not full.
     */
    private boolean isFillOverLink(AttemptState attempt, AttemptOutcome outcome) {
        CacheStatus cacheStatus = outcome.cacheStatus();
        boolean filled = cacheStatus.isFill() || cacheStatus == CacheStatus.COALESCED;
        boolean maybeFilled = attempt.isFill() && !cacheStatus.isCopy() && outcome.status() != AttemptStatus.REJECTED;
        Endpoint endpoint = attempt.endpoint;
        boolean cacheNotFull = endpoint.reportedLoad.inFlight <= ReportedLoad.OVERLOAD * endpoint.weight;
        return (filled || maybeFilled) && (zoneLink.isReported() || cacheNotFull);
    }
}
