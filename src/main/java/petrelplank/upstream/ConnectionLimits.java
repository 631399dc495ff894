package petrelplank.upstream;

import petrelplank.transport.DescriptorBudget;

/**
 * Limits on the connections to upstream servers.
 *
 * @param descriptors the budget of file descriptors for upstream connections
 * @param maxOpenAttempts maximum number of open attempts on one connection
 * @param connectTimeoutUs time after which a connection that is not established counts as failed, in microseconds
 * @param idleTimeoutUs time after which servers close an idle connection, in microseconds
 * @param maxPerServer maximum number of shared connections to one server, at least 1; see {@link #maxPerServer(int)}
 * @param maxResponseBytes memory for the responses of all servers, from their header until they are handled, in bytes
 * @param hedging whether a request may have two attempts in flight at the same time
 */
public record ConnectionLimits(
        DescriptorBudget descriptors,
        int maxOpenAttempts,
        long connectTimeoutUs,
        long idleTimeoutUs,
        int maxPerServer,
        long maxResponseBytes,
        boolean hedging) {
    private static final int MAX_PER_SERVER = 8;
    /**
     * Maximum number of connections to one server from all proxies of a zone together. In a zone with more proxies
     * than this, each proxy keeps one connection.
     */
    private static final int MAX_PER_SERVER_AND_ZONE = 32;

    /**
     * Computes how many shared connections a proxy keeps to one server. Dedicated connections, which carry a single
     * request, are not included. The limit depends on the number of proxies because the connections of all proxies
     * together can fill the connection table of a server: the proxies of a zone share 32 connections to a server, or
     * keep one each if there are more than 32 proxies.
     *
     * @param proxiesInZone number of proxies that share the caches of the zone, at least 1
     * @return the maximum number of shared connections to one server, from 1 to 8
     */
    public static int maxPerServer(int proxiesInZone) {
        return Math.max(1, Math.min(MAX_PER_SERVER, MAX_PER_SERVER_AND_ZONE / proxiesInZone));
    }
}
