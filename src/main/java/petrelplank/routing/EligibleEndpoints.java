package petrelplank.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * The endpoints that may serve a request: those that are up and ready. If fewer than half of the endpoints that are up
 * are ready, a common cause is more likely than so many separate faults, and all that are up stay eligible. There are
 * two exceptions: parents, if cache statuses distinguish failures of the origin from theirs; and caches that cannot be
 * connected to, if requests may bypass the caches.
 */
final class EligibleEndpoints {
    private final EndpointRegistry endpoints;
    private final OutlierDetector outliers;
    private final boolean directToParents;
    private final boolean originFailuresReported;

    EligibleEndpoints(RouterSettings settings, EndpointRegistry endpoints, OutlierDetector outliers) {
        this.endpoints = endpoints;
        this.outliers = outliers;
        this.directToParents = settings.permissions().directToParents();
        this.originFailuresReported = settings.cacheStatusDetail() == CacheStatusDetail.ALL;
    }

    /** Returns the caches that may take the request, as a new list. */
    List<Endpoint> caches(RequestState request, long now) {
        List<Endpoint> candidates = upAndNotExcluded(endpoints.localCaches(), request);
        if (directToParents) {
            candidates.removeIf(cache -> cache.ejection.connectFailed && !outliers.isReady(cache, now));
        }
        return readyOrAllIfMostFail(candidates, now);
    }

    /** Returns the parents from which a miss of the request may be filled, as a new list. */
    List<Endpoint> parents(RequestState request, long now) {
        List<Endpoint> candidates = upAndNotExcluded(endpoints.parents(), request);
        return originFailuresReported ? ready(candidates, now) : readyOrAllIfMostFail(candidates, now);
    }

    /** Whether the request may be sent to the origin. */
    boolean isOriginEligible(RequestState request, long now) {
        Endpoint origin = endpoints.origin();
        return origin != null && outliers.isReady(origin, now) && !request.excludedEndpoints.contains(origin);
    }

    private static List<Endpoint> upAndNotExcluded(List<Endpoint> listed, RequestState request) {
        List<Endpoint> candidates = new ArrayList<>(listed);
        candidates.removeIf(endpoint -> !endpoint.isUp() || request.excludedEndpoints.contains(endpoint));
        return candidates;
    }

    private List<Endpoint> ready(List<Endpoint> candidates, long now) {
        List<Endpoint> ready = new ArrayList<>(candidates);
        ready.removeIf(endpoint -> !outliers.isReady(endpoint, now));
        return ready;
    }

    private List<Endpoint> readyOrAllIfMostFail(List<Endpoint> candidates, long now) {
        List<Endpoint> ready = ready(candidates, now);
        return ready.size() * 2 < candidates.size() ? candidates : ready;
    }
}
