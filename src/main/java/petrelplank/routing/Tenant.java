package petrelplank.routing;

/**
 * A tenant whose requests are counted against a quota.
 *
 * @param name its name, as requests carry it
 * @param quotaPerSecond requests a second over all gateways that have full weight; those beyond have less
 */
public record Tenant(String name, double quotaPerSecond) {
    /** Checks the values. */
    public Tenant {
        Checks.require(name != null && !name.isEmpty(), "tenant name", name);
        Checks.require(quotaPerSecond >= 0, "tenant " + name + " allowancePerS (must be 0 or more)", quotaPerSecond);
    }
}
