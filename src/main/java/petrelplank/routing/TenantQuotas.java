package petrelplank.routing;

import java.util.HashMap;
import java.util.Map;

/** Compares the recent requests of each tenant at this proxy with the proxy's share of the tenant's quota. */
final class TenantQuotas {
    private static final double US_PER_SECOND = 1e6;

    private final Map<String, Tenant> tenants = new HashMap<>();
    private final Map<String, DecayingRate> rates = new HashMap<>();
    private final int gateways;
    private final double windowUs;

    TenantQuotas(RouterSettings settings, double windowUs) {
        settings.tenants().forEach(tenant -> tenants.put(tenant.name(), tenant));
        this.gateways = settings.gateways();
        this.windowUs = windowUs;
    }

    /**
     * Counts a request, and returns whether its tenant is over its quota. One standard deviation of the expected number
     * of requests is tolerated, so that chance alone seldom exceeds the quota. Unknown tenants have no quota.
     */
    boolean recordAndCheckOverQuota(String name, long now) {
        Tenant tenant = tenants.get(name);
        if (tenant == null) {
            return false;
        }
        double seen = windowUs
                * rates.computeIfAbsent(name, key -> new DecayingRate()).add(now, 1, windowUs);
        double fairShare = tenant.quotaPerSecond() * windowUs / US_PER_SECOND / gateways;
        return seen > fairShare + Math.sqrt(fairShare) + 1;
    }
}
