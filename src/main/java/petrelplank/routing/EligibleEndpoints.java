package petrelplank.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * The endpoints that may be offered to a request: the ready ones. Where fewer than half of those that are up are ready,
 * they share the fault, and all that are up are offered; not so parents where cache statuses tell the origin's failures
 * from theirs, nor caches that were not reached, where requests may pass them by.
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

    /** The caches that may take the request, in a list of its own. */
    List<Endpoint> edges(RequestState request, long now) {
        List<Endpoint> up = up(endpoints.edges(), request);
        if (directToParents) {
            up.removeIf(edge -> edge.ejection.unreachable && !outliers.isReady(edge, now));
        }
        return readyUnlessMostFail(up, now);
    }

    /** The parents that may fill a miss of the request, in a list of its own. */
    List<Endpoint> parents(RequestState request, long now) {
        List<Endpoint> up = up(endpoints.parents(), request);
        return originFailuresReported ? ready(up, now) : readyUnlessMostFail(up, now);
    }

    /** Whether the origin may take a call of the request. */
    boolean isOriginEligible(RequestState request, long now) {
        Endpoint origin = endpoints.origin();
        return origin != null && outliers.isReady(origin, now) && !request.excluded.contains(origin);
    }

    private static List<Endpoint> up(List<Endpoint> list, RequestState request) {
        List<Endpoint> up = new ArrayList<>(list);
        up.removeIf(endpoint -> !endpoint.isUp() || request.excluded.contains(endpoint));
        return up;
    }

    private List<Endpoint> ready(List<Endpoint> up, long now) {
        List<Endpoint> ready = new ArrayList<>(up);
        ready.removeIf(endpoint -> !outliers.isReady(endpoint, now));
        return ready;
    }

    private List<Endpoint> readyUnlessMostFail(List<Endpoint> up, long now) {
        List<Endpoint> ready = ready(up, now);
        return ready.size() * 2 < up.size() ? up : ready;
    }
}
