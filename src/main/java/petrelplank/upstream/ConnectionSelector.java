package petrelplank.upstream;

import petrelplank.proxy.EventLoop;
import petrelplank.proxy.UpstreamRequest;

/** Selects the connection that an attempt is sent on: the least loaded one of its server, or a new one. */
final class ConnectionSelector {
    /**
     * One malformed response or reset ends all that is open on its connection, so that few share one: a further one is
     * made where the least loaded carries this many, up to the maximum for a server.
     */
    private static final int SHARED_BY_FEW = 2;
    /** Part of the servers' idle timeout after which an idle connection is not used again, in tenths. */
    private static final int REUSE_TENTHS = 7;

    private final EventLoop loop;
    private final UpstreamConnector connector;
    private final ConnectionLimits limits;

    ConnectionSelector(EventLoop loop, UpstreamConnector connector, ConnectionLimits limits) {
        this.loop = loop;
        this.connector = connector;
        this.limits = limits;
    }

    /** The connection for a request to a server; null where the limits are reached. */
    UpstreamConnection select(UpstreamServer server, UpstreamRequest request) {
        if (request.dedicatedConnection() && hasFreeDescriptor()) {
            // Guards what can't be sent again: an idle connection may be reset by the next command, and a shared one
            // by a fault in another's. A new one carries it alone; a reset of it while new proves that nothing ran.
            return connector.connectDedicated(server);
        }
        UpstreamConnection best =
                server.leastLoaded(request.id(), loop.now() - limits.idleTimeoutUs() * REUSE_TENTHS / 10);
        if (best == null && server.hasCarried(request.id()) && hasFreeDescriptor()) {
            // Guards a retry at the same server against a late response to its first attempt, by a connection alone.
            return connector.connectDedicated(server);
        }
        boolean mayAdd = server.unretiredCount() < limits.maxPerServer() && hasFreeDescriptor();
        return mayAdd && wantsFurther(best) ? connector.connect(server) : best;
    }

    private boolean wantsFurther(UpstreamConnection leastLoaded) {
        boolean descriptorsArePlenty =
                limits.descriptors().inUse() < limits.descriptors().capacity() / 2;
        return leastLoaded == null || leastLoaded.openCount() >= SHARED_BY_FEW && descriptorsArePlenty;
    }

    private boolean hasFreeDescriptor() {
        return limits.descriptors().available() > 0;
    }
}
