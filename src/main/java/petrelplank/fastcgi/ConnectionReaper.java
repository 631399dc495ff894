package petrelplank.fastcgi;

import java.util.Collection;
import petrelplank.proxy.EventLoop;
import petrelplank.transport.BoundedAcceptor;
import petrelplank.transport.DescriptorBudget;

/**
 * Closes unused connections: those that timed out, at regular intervals, and idle ones when few file descriptors are
 * left.
 */
final class ConnectionReaper {
    private static final long SWEEP_INTERVAL_US = 250_000;

    private final ListenerContext context;
    private final EventLoop loop;
    private final BoundedAcceptor acceptor;
    private final DescriptorBudget budget;
    private final Collection<FastCgiConnection> connections;

    /**
     * Creates a reaper; {@link #sweep} starts it.
     *
     * @param context the objects that all connections of the listener share
     * @param budget the file descriptors that client connections may hold
     * @param connections all open connections; a concurrent collection
     */
    ConnectionReaper(ListenerContext context, DescriptorBudget budget, Collection<FastCgiConnection> connections) {
        this.context = context;
        this.loop = context.loop();
        this.acceptor = context.acceptor();
        this.budget = budget;
        this.connections = connections;
    }

    /**
     * Closes connections that timed out, and schedules the next sweep. This frees the descriptors and memory of clients
     * that send nothing, stop in the middle of a request, or keep connections open without using them. Called by the
     * event thread.
     */
    void sweep() {
        long nowUs = loop.nowUs();
        for (FastCgiConnection connection : connections) {
            if (connection.hasLingerTimedOut(nowUs)) {
                connection.closeNow();
            } else if (connection.isTimedOut(nowUs)) {
                connection.closeIfIdle(IdleConnectionCloser.Reason.IDLE);
            }
        }
        loop.schedule(nowUs + SWEEP_INTERVAL_US, this::sweep);
    }

    /**
     * Closes the least recently used idle connections when few file descriptors are left, so that clients which keep
     * idle connections open do not block others. While every connection has open requests, new connections wait in the
     * accept queue of the kernel until a response has been sent. Called by the accepting thread.
     */
    void evictIdleConnections() {
        long nowUs = loop.clockUs();
        while (budget.available() + context.status().pendingCloses() <= acceptor.reserve()) {
            FastCgiConnection candidate = findLeastRecentlyUsed(nowUs);
            if (candidate == null) {
                return;
            }
            candidate.closeIfIdle(IdleConnectionCloser.Reason.CONNECTION_LIMIT);
        }
    }

    private FastCgiConnection findLeastRecentlyUsed(long nowUs) {
        FastCgiConnection candidate = null;
        for (FastCgiConnection connection : connections) {
            if (connection.isEvictable(nowUs)
                    && (candidate == null || connection.lastUsedUs() < candidate.lastUsedUs())) {
                candidate = connection;
            }
        }
        return candidate;
    }
}
