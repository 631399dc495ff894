package petrelplank.routing;

import java.util.List;

/**
 * Settings of a {@link Router}: the gateway's place in the fleet, the service classes and the rules of the platform.
 *
 * @param self its number among the gateways
 * @param gateways gateways in the fleet
 * @param zone the gateway's zone
 * @param zones all zones
 * @param zoneGateways gateways in each of {@code zones}; empty where they are not known
 * @param zoneHub by zone: its hub, as a place in {@code zones}; hubs form a ring; empty where they are not known
 * @param zoneLinkKbPerSecond by zone: capacity of the link into it; 0 or empty where it is not known
 * @param parentKind the {@link EndpointInfo#kind} of parents; null where there are none
 * @param originKind the {@link EndpointInfo#kind} of the origin; null where there is none
 * @param flowKbPerSecond highest rate of one response; 0 where it is not known
 * @param weightMeaning what the endpoints' weights mean
 * @param cacheStatusDetail how much responses tell of copies and fills
 * @param reportFields names of the values in load reports
 * @param watchEndpoints the endpoint list comes only after {@link Router.Actions#watchEndpoints}
 * @param connectTimeoutUs a connection that is not made in this time has failed
 * @param classes the service classes
 * @param permissions what the platform allows the router to do
 * @param rules figures of the platform's rules
 * @param tenants tenants with a quota; empty where there are none
 * @param overQuotaWeightFactor part of a class's priority weight that a request over its tenant's quota has
 */
public record RouterSettings(
        int self,
        int gateways,
        String zone,
        List<String> zones,
        List<Integer> zoneGateways,
        List<Integer> zoneHub,
        List<Double> zoneLinkKbPerSecond,
        String parentKind,
        String originKind,
        double flowKbPerSecond,
        WeightMeaning weightMeaning,
        CacheStatusDetail cacheStatusDetail,
        List<String> reportFields,
        boolean watchEndpoints,
        long connectTimeoutUs,
        List<ServiceClass> classes,
        RoutingPermissions permissions,
        PlatformRules rules,
        List<Tenant> tenants,
        double overQuotaWeightFactor) {
    /**
     * How many gateways share what belongs to the own zone.
     *
     * @return those of the zone; all gateways where the zone's are unknown or 0
     */
    public int zoneGatewayCount() {
        int at = zones.indexOf(zone);
        return at < zoneGateways.size() && zoneGateways.get(at) > 0 ? zoneGateways.get(at) : gateways;
    }

    /** Checks and copies the values. */
    public RouterSettings {
        Checks.require(gateways > 0, "gateways (must be above 0)", gateways);
        Checks.require(self >= 0, "self (must be 0 or more)", self);
        Checks.require(zones != null, "zones", zones);
        Checks.require(zone != null && zones.contains(zone), "zone (must be one of zones)", zone);
        Checks.require(flowKbPerSecond >= 0, "flowKbPerS (must be 0 or more)", flowKbPerSecond);
        Checks.require(connectTimeoutUs >= 0, "connectTimeoutUs (must be 0 or more)", connectTimeoutUs);
        Checks.require(weightMeaning != null, "weights", weightMeaning);
        Checks.require(cacheStatusDetail != null, "notes", cacheStatusDetail);
        Checks.require(classes != null && !classes.isEmpty(), "classes (must not be empty)", classes);
        Checks.require(permissions != null, "allowed", permissions);
        Checks.require(rules != null, "rules", rules);
        zones = List.copyOf(zones);
        zoneGateways = zoneGateways == null ? List.of() : List.copyOf(zoneGateways);
        zoneHub = zoneHub == null ? List.of() : List.copyOf(zoneHub);
        zoneLinkKbPerSecond = zoneLinkKbPerSecond == null ? List.of() : List.copyOf(zoneLinkKbPerSecond);
        reportFields = reportFields == null ? List.of() : List.copyOf(reportFields);
        classes = List.copyOf(classes);
        Checks.require(
                classes.stream().map(ServiceClass::name).distinct().count() == classes.size(),
                "classes: a name twice",
                classes);
        tenants = tenants == null ? List.of() : List.copyOf(tenants);
        Checks.require(
                tenants.stream().map(Tenant::name).distinct().count() == tenants.size(),
                "tenants: a name twice",
                tenants);
        Checks.require(
                overQuotaWeightFactor >= 0 && overQuotaWeightFactor <= 1,
                "overShareWorth (must be 0 to 1)",
                overQuotaWeightFactor);
        for (int gateway : zoneGateways) {
            Checks.require(gateway >= 0, "zoneGateways (must be 0 or more)", gateway);
        }
        for (int hub : zoneHub) {
            Checks.require(hub >= 0 && hub < zones.size(), "zoneHub (must be a place in zones)", hub);
        }
    }
}
