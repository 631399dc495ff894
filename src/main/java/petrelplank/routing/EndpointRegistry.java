package petrelplank.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import petrelplank.routing.Endpoint.Role;

/** The listed endpoints with their roles and their distance from this proxy. */
final class EndpointRegistry {
    private final RouterSettings settings;
    private final CopyLocations copyLocations;
    private final LoadReports loadReports;
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final List<Endpoint> localCaches = new ArrayList<>();
    private final List<Endpoint> parents = new ArrayList<>();
    private Endpoint origin;
    private long firstUpdateUs = Long.MAX_VALUE;

    EndpointRegistry(RouterSettings settings, CopyLocations copyLocations, LoadReports loadReports) {
        this.settings = settings;
        this.copyLocations = copyLocations;
        this.loadReports = loadReports;
    }

    /** Returns the caches in this proxy's zone. */
    List<Endpoint> localCaches() {
        return localCaches;
    }

    List<Endpoint> parents() {
        return parents;
    }

    /** Returns the origin, or null if none is listed. */
    Endpoint origin() {
        return origin;
    }

    boolean isOriginUp() {
        return origin != null && origin.isUp();
    }

    /** Returns the time at which the first list was received, or {@link Long#MAX_VALUE} before that. */
    long firstUpdateUs() {
        return firstUpdateUs;
    }

    /** Applies a list of changes or a complete list; endpoints that are missing from a complete list are removed. */
    void update(long now, boolean complete, List<EndpointInfo> changes) {
        firstUpdateUs = Math.min(firstUpdateUs, now);
        if (complete) {
            endpoints.values().forEach(endpoint -> endpoint.state = EndpointState.REMOVED);
        }
        changes.forEach(this::update);
        endpoints.values().removeIf(endpoint -> endpoint.state == EndpointState.REMOVED);
        copyLocations.forgetRemovedCaches();
        groupByRole();
    }

    private void update(EndpointInfo info) {
        int zoneProxyCount = settings.zoneProxyCount();
        Endpoint endpoint =
                endpoints.computeIfAbsent(info.id(), id -> new Endpoint(id, new ConcurrencyLimit(zoneProxyCount)));
        if (info.startedUs() != endpoint.startedUs) {
            copyLocations.forgetCache(endpoint);
            endpoint.resetAfterRestart(info.startedUs());
        }
        endpoint.state = info.state();
        endpoint.weight = settings.weightMeaning() != WeightMeaning.NONE && info.weight() > 0 ? info.weight() : 1;
        // Keeps the limit from staying low after an overload has ended: if load reports include the requests in flight,
        // the weight is the endpoint's capacity.
        endpoint.limit.setKnownCapacity(
                loadReports.includeInFlight() ? ReportedLoad.OVERLOAD_THRESHOLD * endpoint.weight : 0);
        endpoint.hubDistance = hubDistance(info.zone());
        endpoint.role = role(info);
    }

    private void groupByRole() {
        localCaches.clear();
        parents.clear();
        origin = null;
        for (Endpoint endpoint : endpoints.values()) {
            switch (endpoint.role) {
                case LOCAL_CACHE -> localCaches.add(endpoint);
                case PARENT -> parents.add(endpoint);
                case ORIGIN -> origin = endpoint;
                default -> {}
            }
        }
    }

    private Role role(EndpointInfo info) {
        if (info.kind().equals(settings.originKind())) {
            return Role.ORIGIN;
        }
        if (info.kind().equals(settings.parentKind())) {
            return Role.PARENT;
        }
        return info.zone().equals(settings.zone()) ? Role.LOCAL_CACHE : Role.OTHER;
    }

    /** Returns the steps along the ring of hubs from this proxy's hub to the zone's hub, or 0 if hubs are unknown. */
    private int hubDistance(String zone) {
        int ownIndex = settings.zones().indexOf(settings.zone());
        int zoneIndex = settings.zones().indexOf(zone);
        List<Integer> hubs = settings.hubByZone();
        if (ownIndex >= hubs.size() || zoneIndex < 0 || zoneIndex >= hubs.size()) {
            return 0;
        }
        int ringSize = 1 + Collections.max(hubs);
        int steps = Math.floorMod(hubs.get(ownIndex) - hubs.get(zoneIndex), ringSize);
        return Math.min(steps, Math.floorMod(-steps, ringSize));
    }
}
