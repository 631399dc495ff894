package petrelplank.routing;

/**
 * A tenant whose requests are counted against a quota.
 *
 * @param name name of the tenant, as in {@link RoutingRequest#tenant}
 * @param quotaPerSecond requests per second over all proxies that have full weight; requests beyond it have less
 */
public record Tenant(String name, double quotaPerSecond) {
    /** Validates the values. */
    public Tenant {
        SettingChecks.require(name != null && !name.isEmpty(), "name of a tenant (must not be empty)", name);
        SettingChecks.require(
                quotaPerSecond >= 0, "allowance-per-s of tenant " + name + " (must be 0 or more)", quotaPerSecond);
    }
}
