package petrelplank.routing;

/**
 * Adaptive concurrency limits: late responses lower the number of attempts that may be in flight. A late cache hit
 * lowers the limit of that cache, a late fill the limit of fills into the zone. A missing response is no sign of load,
 * and neither is a late one while load reports show spare capacity.
 */
final class ConcurrencyLimiter {
    private final ZoneLink zoneLink;
    private final ConcurrencyLimit fillLimit;

    ConcurrencyLimiter(double zoneProxyCount, ZoneLink zoneLink) {
        this.zoneLink = zoneLink;
        this.fillLimit = new ConcurrencyLimit(zoneProxyCount);
    }

    /** Whether one more fill may start: it fits under the limit, or the zone's link last reported spare capacity. */
    boolean mayStartFill(RequestState request) {
        return fillLimit.hasRoom(request) || zoneLink.hasReportedSpareCapacity();
    }

    /** Whether the cache may take one more attempt of the request: it fits under the limit, or reports show room. */
    static boolean mayAccept(Endpoint cache, RequestState request) {
        return cache.limit.hasRoom(request) || cache.hasEstimatedSpareCapacity();
    }

    /** Counts the attempt as in flight under the limits that apply to it. */
    void acquire(AttemptState attempt) {
        attempt.endpoint.limit.inFlight++;
        fillLimit.inFlight += attempt.isFill() ? 1 : 0;
    }

    /** Undoes {@link #acquire}. */
    void release(AttemptState attempt) {
        attempt.endpoint.limit.inFlight--;
        fillLimit.inFlight -= attempt.isFill() ? 1 : 0;
    }

    /** Adapts the limit that applied to the attempt; a late response counts only if no report shows spare capacity. */
    void adapt(AttemptState attempt, AttemptOutcome outcome, Timeliness timeliness) {
        boolean limitedByLink = isLimitedByZoneLink(attempt, outcome);
        Endpoint endpoint = attempt.endpoint;
        double utilization =
                limitedByLink ? zoneLink.reportedUtilization() : endpoint.reportedLoad.inFlight / endpoint.weight;
        boolean inTime = timeliness == Timeliness.IN_TIME;
        if (inTime || utilization < 0 || utilization > ReportedLoad.OVERLOAD_THRESHOLD) {
            (limitedByLink ? fillLimit : endpoint.limit).adapt(inTime);
        }
    }

    /**
     * Whether the zone's link rather than the cache determined the attempt's latency: the attempt was a fill, and
     * either the link's utilization is reported or the cache was not overloaded.
     */
    private boolean isLimitedByZoneLink(AttemptState attempt, AttemptOutcome outcome) {
        CacheStatus cacheStatus = outcome.cacheStatus();
        boolean filled = cacheStatus.isFill() || cacheStatus == CacheStatus.COALESCED;
        boolean mayHaveFilled = attempt.isFill() && !cacheStatus.isCopy() && outcome.status() != AttemptStatus.REJECTED;
        Endpoint endpoint = attempt.endpoint;
        boolean cacheNotFull = endpoint.reportedLoad.inFlight <= ReportedLoad.OVERLOAD_THRESHOLD * endpoint.weight;
        return (filled || mayHaveFilled) && (zoneLink.isUtilizationReported() || cacheNotFull);
    }
}
