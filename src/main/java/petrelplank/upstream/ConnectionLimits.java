package petrelplank.upstream;

import petrelplank.transport.DescriptorBudget;

/**
 * Limits on the connections to servers.
 *
 * @param share the descriptors that connections may hold
 * @param streams attempts open on one connection
 * @param connectUs a connection not made in this time has failed
 * @param idleUs servers close idle connections after this time
 * @param perServer connections kept at one server, from 1; see {@link #perServer(int)}
 * @param copies a request may have two attempts out together
 */
public record ConnectionLimits(
        DescriptorBudget share, int streams, long connectUs, long idleUs, int perServer, boolean copies) {
    private static final int MOST_PER_SERVER = 8;
    /** Connections that all fronts of a branch keep at one server, as long as they are no more than that themselves. */
    private static final int MOST_OF_BRANCH = 32;

    /**
     * How many connections a front keeps at one server, besides those that carry one request that can't be sent
     * again. What is harmless for one front fills a server's table when every front does it: a branch's fronts keep
     * 32 together, or one each where there are more of them.
     *
     * @param fronts of the branch, that share its caches, from 1
     * @return from 1 to 8
     */
    public static int perServer(int fronts) {
        return Math.max(1, Math.min(MOST_PER_SERVER, MOST_OF_BRANCH / fronts));
    }
}
