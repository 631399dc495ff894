package petrelplank.upstream;

import petrelplank.transport.DescriptorBudget;

/**
 * Limits on the connections to upstream servers.
 *
 * @param descriptors the descriptors that connections may hold
 * @param maxStreams attempts open on one connection
 * @param connectTimeoutUs a connection not made in this time has failed
 * @param idleTimeoutUs servers close idle connections after this time
 * @param maxPerServer shared connections to one server, at least 1; see {@link #maxPerServer(int)}
 * @param hedging a request may have two attempts in flight together
 */
public record ConnectionLimits(
        DescriptorBudget descriptors,
        int maxStreams,
        long connectTimeoutUs,
        long idleTimeoutUs,
        int maxPerServer,
        boolean hedging) {
    private static final int MAX_PER_SERVER = 8;
    /** Connections that all proxies of a zone keep to one server together, as long as there are no more proxies. */
    private static final int MAX_OF_ZONE = 32;

    /**
     * How many connections a proxy keeps to one server, besides the dedicated ones that carry one request that can't
     * be sent again. What is harmless for one proxy fills a server's connection table when all of them do it: the
     * proxies of a zone keep 32 together, or one each where there are more of them.
     *
     * @param proxiesInZone proxies that share the zone's caches, at least 1
     * @return from 1 to 8
     */
    public static int maxPerServer(int proxiesInZone) {
        return Math.max(1, Math.min(MAX_PER_SERVER, MAX_OF_ZONE / proxiesInZone));
    }
}
