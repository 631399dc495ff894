package petrelplank.routing;

import java.util.HashMap;
import java.util.Map;

/** Compares the recent requests of each tenant at this proxy with the proxy's share of the tenant's quota. */
final class TenantQuotas {
    private static final double US_PER_SECOND = 1e6;

    private final Map<String, Tenant> tenants = new HashMap<>();
    private final Map<String, DecayingRate> rates = new HashMap<>();
    private final int proxies;
    private final double windowUs;

    TenantQuotas(RouterSettings settings, double windowUs) {
        settings.tenants().forEach(tenant -> tenants.put(tenant.name(), tenant));
        this.proxies = settings.proxyCount();
        this.windowUs = windowUs;
    }

    /**
     * Counts a request, and returns whether its tenant is over its quota. One standard deviation of the expected number
     * of requests is tolerated, so that chance alone seldom exceeds the quota. Unknown tenants have no quota.
     */
    boolean recordAndCheckOverQuota(String tenantName, long now) {
        Tenant tenant = tenants.get(tenantName);
        if (tenant == null) {
            return false;
        }
        double recentRequests = windowUs
                * rates.computeIfAbsent(tenantName, key -> new DecayingRate()).add(now, 1, windowUs);
        double quotaShare = tenant.quotaPerSecond() * windowUs / US_PER_SECOND / proxies;
        return recentRequests > quotaShare + Math.sqrt(quotaShare) + 1;
    }
}
