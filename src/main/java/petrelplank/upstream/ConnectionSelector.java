package petrelplank.upstream;

import petrelplank.proxy.EventLoop;
import petrelplank.proxy.UpstreamRequest;

/** Selects the connection for an attempt: the least loaded connection to the server, or a new one. */
final class ConnectionSelector {
    /**
     * Number of open attempts on the least loaded connection at which another connection is opened, up to the maximum
     * per server. It is kept low because a malformed response or a reset ends all attempts on its connection.
     */
    private static final int ATTEMPTS_BEFORE_NEW_CONNECTION = 2;
    /** Idle time after which a connection is not reused, in tenths of the servers' idle timeout. */
    private static final int MAX_IDLE_TENTHS = 7;

    private final EventLoop loop;
    private final UpstreamConnector connector;
    private final ConnectionLimits limits;

    ConnectionSelector(EventLoop loop, UpstreamConnector connector, ConnectionLimits limits) {
        this.loop = loop;
        this.connector = connector;
        this.limits = limits;
    }

    /**
     * Selects the connection for a request, and opens a new one if necessary.
     *
     * @return the connection; null if no connection accepts the request and the limits allow no new one
     */
    UpstreamConnection select(UpstreamServer server, UpstreamRequest request) {
        if (request.dedicatedConnection() && hasFreeDescriptor()) {
            // A request that must not be executed twice gets a new connection of its own. The server may reset an idle
            // connection on the next command, and a shared one because of a fault in another request. If the new
            // connection is reset before anything is written to it, the request was certainly not executed.
            return connector.connectDedicated(server);
        }
        UpstreamConnection leastLoaded =
                server.leastLoaded(request.id(), loop.nowUs() - limits.idleTimeoutUs() * MAX_IDLE_TENTHS / 10);
        if (leastLoaded == null && server.hasSent(request.id()) && hasFreeDescriptor()) {
            // A retry on the same server gets a connection of its own. On the earlier connection, a late response to
            // the first attempt would be taken for the response to the retry.
            return connector.connectDedicated(server);
        }
        boolean mayAddConnection = server.activeConnectionCount() < limits.maxPerServer() && hasFreeDescriptor();
        return mayAddConnection && shouldAddConnection(leastLoaded) ? connector.connect(server) : leastLoaded;
    }

    private boolean shouldAddConnection(UpstreamConnection leastLoaded) {
        boolean lessThanHalfInUse =
                limits.descriptors().inUse() < limits.descriptors().capacity() / 2;
        return leastLoaded == null || leastLoaded.openCount() >= ATTEMPTS_BEFORE_NEW_CONNECTION && lessThanHalfInUse;
    }

    private boolean hasFreeDescriptor() {
        return limits.descriptors().available() > 0;
    }
}
