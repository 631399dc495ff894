package petrelplank.routing;

/**
 * One that requests are counted for.
 *
 * @param name its name, as requests carry it
 * @param allowancePerS requests a second over all gateways that count in full; what goes beyond is worth less
 */
public record Tenant(String name, double allowancePerS) {
    /** Checks the figures. */
    public Tenant {
        Checks.require(name != null && !name.isEmpty(), "tenant name", name);
        Checks.require(allowancePerS >= 0, "tenant " + name + " allowancePerS (must be 0 or more)", allowancePerS);
    }
}
