package petrelplank.routing;

import petrelplank.routing.Endpoint.Role;

/** Sends attempts along their routes, with the maximum age and the rank of the copy and the time-out. */
final class AttemptSender {
    /** Rank of a response that is not cached. */
    private static final int RANK_NOT_CACHED = 0;

    private static final int RANK_FIRST_REQUEST = 1;
    private static final int RANK_REPEATED_REQUEST = 2;

    private final RoutingPermissions permissions;
    private final Router.Actions actions;
    private final InFlightAttempts attempts;
    private final HedgingPolicy hedging;
    private final RetryPolicy retries;
    private final PurgeLog purges;
    private final ObjectPopularity popularity;

    AttemptSender(
            RoutingPermissions permissions,
            Router.Actions actions,
            InFlightAttempts attempts,
            HedgingPolicy hedging,
            RetryPolicy retries,
            PurgeLog purges,
            ObjectPopularity popularity) {
        this.permissions = permissions;
        this.actions = actions;
        this.attempts = attempts;
        this.hedging = hedging;
        this.retries = retries;
        this.purges = purges;
        this.popularity = popularity;
    }

    /** Sends the attempt, and schedules the check for a missing response. */
    void send(RequestState request, AttemptRoute route, long now) {
        AttemptState attempt = attempts.begin(request, route, now);
        actions.send(request.clientRequest.id(), plan(request, route, now));
        hedging.scheduleCheck(request, attempt, now);
    }

    private AttemptPlan plan(RequestState request, AttemptRoute route, long now) {
        boolean recentlyPurged = purges.isRecentlyPurged(request.clientRequest, now);
        boolean coalesce = permissions.coalescing() && !recentlyPurged && !request.isWrite();
        boolean staleWhileRevalidate = request.serviceClass.freshnessUs() > 0 && !recentlyPurged;
        return new AttemptPlan(
                route.endpoint().id,
                route.source().id,
                rank(request, route.endpoint()),
                purges.maxAgeUs(request, now),
                coalesce,
                route.fillMode() == FillMode.ONLY_IF_CACHED,
                staleWhileRevalidate,
                Math.max(1, request.clientRequest.deadlineUs() - now),
                retries.sendWithinUs(request, now));
    }

    private int rank(RequestState request, Endpoint endpoint) {
        if (request.isWrite() || endpoint.role != Role.LOCAL_CACHE) {
            return RANK_NOT_CACHED;
        }
        return popularity.isRequestedRepeatedly(request.objectKey) ? RANK_REPEATED_REQUEST : RANK_FIRST_REQUEST;
    }
}
