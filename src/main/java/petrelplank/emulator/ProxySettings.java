package petrelplank.emulator;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import petrelplank.routing.CacheStatusDetail;
import petrelplank.routing.PlatformRules;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.RoutingPermissions;
import petrelplank.routing.SiblingFillPolicy;
import petrelplank.routing.Tenant;
import petrelplank.routing.WeightMeaning;

/** Builds the settings that the platform would provide to a proxy of the emulated fleet. */
final class ProxySettings {
    static final long DRAIN_GRACE_US = 1_000_000;
    static final long PURGE_GRACE_US = 500_000;
    static final String ORIGIN_KIND = "central";
    private static final long CONNECT_TIMEOUT_US = 100_000;
    /** Load values in responses: requests in flight, and utilization of the zone's link; see {@link Network}. */
    private static final List<String> REPORT_FIELDS = List.of("concurrent", "x1");

    private static final int MAX_ATTEMPTS = 6;
    private static final long MAX_RETRY_AFTER_US = 2_000_000;
    private static final double OVERLOAD_MULTIPLE = 4;
    private static final double PARENT_OVERLOAD_MULTIPLE = 2;
    private static final long OVERLOAD_US = 1_500_000;
    private static final long PURGE_DONE_US = 6_000_000;
    private static final long POLL_INTERVAL_US = 10_000_000;
    /** The emulated fleet has no tenants, so no request exceeds a quota. */
    private static final List<Tenant> NO_TENANTS = List.of();

    private static final double OVER_QUOTA_WEIGHT_FACTOR = 0;

    private ProxySettings() {}

    private static RoutingPermissions permissions() {
        boolean hedging = true;
        boolean cancel = true;
        boolean healthChecks = false;
        boolean gossip = false;
        boolean retryAfter = true;
        boolean coalescing = true;
        boolean directToParents = true;
        return new RoutingPermissions(
                MAX_ATTEMPTS,
                hedging,
                cancel,
                healthChecks,
                gossip,
                retryAfter,
                MAX_RETRY_AFTER_US,
                coalescing,
                directToParents,
                SiblingFillPolicy.OWN_ZONE);
    }

    private static PlatformRules rules() {
        return new PlatformRules(
                DRAIN_GRACE_US,
                CacheNode.COLD_CAPACITY_SHARE,
                CacheNode.WARM_UP_US,
                OVERLOAD_MULTIPLE,
                OVERLOAD_US,
                CacheNode.COLD_CAPACITY_SHARE,
                CacheNode.WARM_UP_US,
                PARENT_OVERLOAD_MULTIPLE,
                OriginServer.OVERLOAD_MULTIPLE,
                OriginServer.OVERLOAD_US,
                PURGE_GRACE_US,
                PURGE_DONE_US,
                POLL_INTERVAL_US);
    }

    static RouterSettings forZone(Scenario scenario, String zone) {
        Topology topology = scenario.topology();
        List<String> zones = new ArrayList<>();
        List<Integer> proxiesByZone = new ArrayList<>();
        List<Integer> hubByZone = new ArrayList<>();
        for (int hub = 1; hub <= topology.hubs(); hub++) {
            zones.add(ServerNames.hubZone(hub));
            proxiesByZone.add(0);
            hubByZone.add(hub - 1);
        }
        for (int edgeZone = 1; edgeZone <= topology.edgeZones(); edgeZone++) {
            zones.add(ServerNames.edgeZone(edgeZone));
            proxiesByZone.add(topology.proxiesPerZone());
            hubByZone.add((edgeZone - 1) % topology.hubs());
        }
        double linkKbPerSecond = scenario.capacity().zoneLinkWeight() * TrafficClasses.FLOW_KB_PER_SECOND;
        return new RouterSettings(
                0,
                topology.proxies(),
                zone,
                zones,
                proxiesByZone,
                hubByZone,
                Collections.nCopies(zones.size(), linkKbPerSecond),
                CacheSpec.PARENT_KIND,
                ORIGIN_KIND,
                TrafficClasses.FLOW_KB_PER_SECOND,
                WeightMeaning.NOMINAL,
                CacheStatusDetail.ALL,
                REPORT_FIELDS,
                false,
                CONNECT_TIMEOUT_US,
                TrafficClasses.ALL,
                permissions(),
                rules(),
                NO_TENANTS,
                OVER_QUOTA_WEIGHT_FACTOR);
    }
}
