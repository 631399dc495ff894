package petrelplank.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import petrelplank.routing.Endpoint.Role;

/** The listed endpoints, their roles and their distance from this gateway. */
final class EndpointRegistry {
    private final RouterSettings settings;
    private final CopyLocations copies;
    private final LoadReports loadReports;
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final List<Endpoint> edges = new ArrayList<>();
    private final List<Endpoint> parents = new ArrayList<>();
    private Endpoint origin;
    private long firstUpdateUs = Long.MAX_VALUE;

    EndpointRegistry(RouterSettings settings, CopyLocations copies, LoadReports loadReports) {
        this.settings = settings;
        this.copies = copies;
        this.loadReports = loadReports;
    }

    /** The caches of this gateway's zone. */
    List<Endpoint> edges() {
        return edges;
    }

    List<Endpoint> parents() {
        return parents;
    }

    /** The origin; null where none is listed. */
    Endpoint origin() {
        return origin;
    }

    boolean isOriginUp() {
        return origin != null && origin.isUp();
    }

    /** When the first list came; the largest value before. */
    long firstUpdateUs() {
        return firstUpdateUs;
    }

    /** Takes in a list of changes, or a complete list: what is missing in that is gone. */
    void update(long now, boolean complete, List<EndpointInfo> changes) {
        firstUpdateUs = Math.min(firstUpdateUs, now);
        if (complete) {
            endpoints.values().forEach(endpoint -> endpoint.state = EndpointState.REMOVED);
        }
        changes.forEach(this::update);
        endpoints.values().removeIf(endpoint -> endpoint.state == EndpointState.REMOVED);
        copies.forgetRemovedCaches();
        groupByRole();
    }

    private void update(EndpointInfo info) {
        int gateways = settings.zoneGatewayCount();
        Endpoint endpoint =
                endpoints.computeIfAbsent(info.id(), id -> new Endpoint(id, new ConcurrencyLimit(gateways)));
        if (info.startedUs() != endpoint.startedUs) {
            copies.forgetCache(endpoint);
            endpoint.restarted(info.startedUs());
        }
        endpoint.state = info.state();
        endpoint.weight = settings.weightMeaning() != WeightMeaning.NONE && info.weight() > 0 ? info.weight() : 1;
        // Guards against a limit that stays low after an overload has ended: where reports tell requests in flight, its
        // capacity is known.
        endpoint.limit.setKnownCapacity(loadReports.tellInFlight() ? ReportedLoad.OVERLOAD * endpoint.weight : 0);
        endpoint.hubDistance = hubDistance(info.zone());
        endpoint.role = role(info);
    }

    private void groupByRole() {
        edges.clear();
        parents.clear();
        origin = null;
        for (Endpoint endpoint : endpoints.values()) {
            switch (endpoint.role) {
                case EDGE -> edges.add(endpoint);
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
        return info.zone().equals(settings.zone()) ? Role.EDGE : Role.OTHER;
    }

    /** Steps along the ring of hubs from this gateway's hub; 0 where hubs are not known. */
    private int hubDistance(String zone) {
        int ownIndex = settings.zones().indexOf(settings.zone());
        int zoneIndex = settings.zones().indexOf(zone);
        List<Integer> hubs = settings.zoneHub();
        if (ownIndex >= hubs.size() || zoneIndex < 0 || zoneIndex >= hubs.size()) {
            return 0;
        }
        int ringSize = 1 + Collections.max(hubs);
        int steps = Math.floorMod(hubs.get(ownIndex) - hubs.get(zoneIndex), ringSize);
        return Math.min(steps, Math.floorMod(-steps, ringSize));
    }
}
