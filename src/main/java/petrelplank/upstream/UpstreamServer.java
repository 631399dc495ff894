package petrelplank.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** A listed upstream server and its connections. Event thread only. */
final class UpstreamServer {
    private final String id;
    private final InetSocketAddress address;
    private final List<UpstreamConnection> connections = new ArrayList<>(2);
    private int resetsInARow;

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
     * The connection with the fewest open attempts that accepts a request; null where none does. A connection idle
     * since before a time is retired, as a guard against a command that crosses the server's own close of it.
     */
    UpstreamConnection leastLoaded(String requestId, long idleSinceUs) {
        UpstreamConnection best = null;
        for (UpstreamConnection connection : List.copyOf(connections)) {
            if (connection.isIdle() && !connection.isRetiring() && connection.lastActivityUs() < idleSinceUs) {
                connection.retire();
            }
            if (connection.accepts(requestId) && (best == null || connection.openCount() < best.openCount())) {
                best = connection;
            }
        }
        return best;
    }

    /** Whether an attempt of the request was sent on a connection that is still open. */
    boolean hasCarried(String requestId) {
        return connections.stream().anyMatch(connection -> connection.hasCarried(requestId));
    }

    /** Connections that accept new attempts: those being retired must not keep a fresh one out. */
    long unretiredCount() {
        return connections.stream()
                .filter(connection -> !connection.isRetiring())
                .count();
    }

    /** Retires connections made before a time: they belong to an earlier process of the server. */
    void retireOlderThan(long unixUs) {
        List.copyOf(connections).stream()
                .filter(connection -> connection.createdUs() < unixUs)
                .forEach(UpstreamConnection::retire);
    }

    void retireAll() {
        retireOlderThan(Long.MAX_VALUE);
    }

    /** A response has come: the server is there. */
    void responseReceived() {
        resetsInARow = 0;
    }

    /**
     * Counts a connection lost to a reset.
     *
     * @return connections lost so in a row, with no response between
     */
    int countReset() {
        return ++resetsInARow;
    }
}
