package petrelplank.routing;

import java.util.List;

/**
 * Settings of a {@link Router}: the place of its proxy in the fleet, the service classes and the rules of the platform.
 *
 * @param proxyIndex index of this proxy in the fleet
 * @param proxyCount number of proxies in the fleet
 * @param zone zone of this proxy
 * @param zones all zones
 * @param proxyCountByZone number of proxies in each of {@code zones}; empty if unknown
 * @param hubByZone hub of each of {@code zones}, as an index in {@code zones}; hubs form a ring; empty if unknown
 * @param linkKbPerSecondByZone capacity of the link into each of {@code zones}; 0 or empty if unknown
 * @param parentKind the {@link EndpointInfo#kind} of parents; null if there are none
 * @param originKind the {@link EndpointInfo#kind} of the origin; null if there is none
 * @param maxResponseKbPerSecond maximum transfer rate of one response; 0 if unknown
 * @param weightMeaning meaning of the endpoints' weights
 * @param cacheStatusDetail how much responses report about copies and fills
 * @param reportFields names of the values in load reports
 * @param watchEndpoints whether the endpoint list is sent only after {@link Router.Actions#watchEndpoints}
 * @param connectTimeoutUs time after which a connection that is not established has failed
 * @param classes the service classes
 * @param permissions what the platform allows the router to do
 * @param rules limits and durations of the platform's rules
 * @param tenants tenants with a quota; empty if there are none
 * @param overQuotaWeightFactor fraction of the priority weight of a class that a request over its tenant's quota has
 */
public record RouterSettings(
        int proxyIndex,
        int proxyCount,
        String zone,
        List<String> zones,
        List<Integer> proxyCountByZone,
        List<Integer> hubByZone,
        List<Double> linkKbPerSecondByZone,
        String parentKind,
        String originKind,
        double maxResponseKbPerSecond,
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
     * Returns the number of proxies that share the endpoints and the link of this proxy's zone.
     *
     * @return the number of proxies in the zone; that of all proxies if it is unknown or 0
     */
    public int zoneProxyCount() {
        int zoneIndex = zones.indexOf(zone);
        return zoneIndex < proxyCountByZone.size() && proxyCountByZone.get(zoneIndex) > 0
                ? proxyCountByZone.get(zoneIndex)
                : proxyCount;
    }

    /** Validates and copies the values. */
    public RouterSettings {
        SettingChecks.require(proxyCount > 0, "balancers (must be above 0)", proxyCount);
        SettingChecks.require(proxyIndex >= 0, "self-index (must be 0 or more)", proxyIndex);
        SettingChecks.require(zones != null, "localities (must not be null)", zones);
        SettingChecks.require(zone != null && zones.contains(zone), "zone (must be one of localities)", zone);
        SettingChecks.require(maxResponseKbPerSecond >= 0, "flow-kb-per-s (must be 0 or more)", maxResponseKbPerSecond);
        SettingChecks.require(connectTimeoutUs >= 0, "connect-timeout-us (must be 0 or more)", connectTimeoutUs);
        SettingChecks.require(weightMeaning != null, "weights (must not be null)", weightMeaning);
        SettingChecks.require(cacheStatusDetail != null, "note-level (must not be null)", cacheStatusDetail);
        SettingChecks.require(classes != null && !classes.isEmpty(), "services (must not be empty)", classes);
        SettingChecks.require(permissions != null, "caps (must not be null)", permissions);
        SettingChecks.require(rules != null, "rules (must not be null)", rules);
        zones = List.copyOf(zones);
        proxyCountByZone = proxyCountByZone == null ? List.of() : List.copyOf(proxyCountByZone);
        hubByZone = hubByZone == null ? List.of() : List.copyOf(hubByZone);
        linkKbPerSecondByZone = linkKbPerSecondByZone == null ? List.of() : List.copyOf(linkKbPerSecondByZone);
        reportFields = reportFields == null ? List.of() : List.copyOf(reportFields);
        classes = List.copyOf(classes);
        SettingChecks.require(
                classes.stream().map(ServiceClass::name).distinct().count() == classes.size(),
                "services (names must be unique)",
                classes);
        tenants = tenants == null ? List.of() : List.copyOf(tenants);
        SettingChecks.require(
                tenants.stream().map(Tenant::name).distinct().count() == tenants.size(),
                "tenants (names must be unique)",
                tenants);
        SettingChecks.require(
                overQuotaWeightFactor >= 0 && overQuotaWeightFactor <= 1,
                "over-share-worth (must be 0 to 1)",
                overQuotaWeightFactor);
        for (int proxies : proxyCountByZone) {
            SettingChecks.require(proxies >= 0, "crew-by-zone (must be 0 or more)", proxies);
        }
        for (int hub : hubByZone) {
            SettingChecks.require(hub >= 0 && hub < zones.size(), "hub-of (must be an index in localities)", hub);
        }
    }
}
