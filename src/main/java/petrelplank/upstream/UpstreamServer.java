package petrelplank.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** A server from the endpoint list and its connections. Event thread only. */
final class UpstreamServer {
    private final String id;
    private final InetSocketAddress address;
    private final List<UpstreamConnection> connections = new ArrayList<>(2);
    private int consecutiveResets;

    UpstreamServer(String id, InetSocketAddress address) {
        this.id = id;
        this.address = address;
    }

    String id() {
        return id;
    }

    InetSocketAddress address() {
        return address;
    }

    void add(UpstreamConnection connection) {
        connections.add(connection);
    }

    void remove(UpstreamConnection connection) {
        connections.remove(connection);
    }

    /**
     * Returns the connection with the fewest open attempts that accepts a request. Connections that have been idle for
     * too long are retired first: the server may be closing them while a command is on its way.
     *
     * @param requestId the id of the request
     * @param idleCutoffUs idle connections without activity since this time are retired
     * @return the connection; null if none accepts the request
     */
    UpstreamConnection leastLoaded(String requestId, long idleCutoffUs) {
        UpstreamConnection leastLoaded = null;
        for (UpstreamConnection connection : List.copyOf(connections)) {
            if (connection.isIdle() && !connection.isRetiring() && connection.lastActivityUs() < idleCutoffUs) {
                connection.retire();
            }
            if (connection.accepts(requestId)
                    && (leastLoaded == null || connection.openCount() < leastLoaded.openCount())) {
                leastLoaded = connection;
            }
        }
        return leastLoaded;
    }

    /** Returns whether an attempt of the request was sent on a connection that is still open. */
    boolean hasSent(String requestId) {
        return connections.stream().anyMatch(connection -> connection.hasSent(requestId));
    }

    /**
     * Returns the number of connections that are not being retired. Only these count towards the maximum per server, so
     * that a connection being retired does not prevent a new one.
     */
    long activeConnectionCount() {
        return connections.stream()
                .filter(connection -> !connection.isRetiring())
                .count();
    }

    /** Retires the connections created before a restart of the server: they belong to its previous process. */
    void retireCreatedBefore(long restartUs) {
        List.copyOf(connections).stream()
                .filter(connection -> connection.createdUs() < restartUs)
                .forEach(UpstreamConnection::retire);
    }

    void retireAll() {
        retireCreatedBefore(Long.MAX_VALUE);
    }

    /** Called when a response was received, which ends a series of resets. */
    void responseReceived() {
        consecutiveResets = 0;
    }

    /**
     * Counts a connection that was reset or closed.
     *
     * @return the number of consecutive resets, with no response in between
     */
    int countReset() {
        return ++consecutiveResets;
    }
}
