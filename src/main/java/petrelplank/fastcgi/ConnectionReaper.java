package petrelplank.fastcgi;

import java.util.Collection;
import petrelplank.proxy.EventLoop;
import petrelplank.transport.BoundedAcceptor;
import petrelplank.transport.DescriptorBudget;

/** Closes connections that are of no use: regularly those that timed out, and idle ones where descriptors run short. */
final class ConnectionReaper {
    private static final long SWEEP_INTERVAL_US = 250_000;

    private final ListenerContext context;
    private final EventLoop loop;
    private final BoundedAcceptor acceptor;
    private final DescriptorBudget budget;
    private final Collection<FastCgiConnection> connections;

    /**
     * A reaper.
     *
     * @param context what the connections share
     * @param budget the descriptors that connections may hold
     * @param connections all that are open; a concurrent collection
     */
    ConnectionReaper(ListenerContext context, DescriptorBudget budget, Collection<FastCgiConnection> connections) {
        this.context = context;
        this.loop = context.loop();
        this.acceptor = context.acceptor();
        this.budget = budget;
        this.connections = connections;
    }

    /**
     * Guards descriptors and memory against clients that send nothing, stop half way or keep connections that they
     * don't use. Repeats itself; in the event thread.
     */
    void sweep() {
        long nowUs = loop.now();
        for (FastCgiConnection connection : connections) {
            if (connection.lingersTooLong(nowUs)) {
                connection.closeNow();
            } else if (connection.isTimedOut(nowUs)) {
                connection.closeIfIdle(IdleClose.Reason.IDLE);
            }
        }
        loop.at(nowUs + SWEEP_INTERVAL_US, this::sweep);
    }

    /**
     * Guards good clients against those that keep connections: where descriptors run short, the least recently used
     * connections are closed. Where all have open requests, new connections wait in the kernel's queue until one has
     * its response. In the accepting thread.
     */
    void makeRoom() {
        long nowUs = loop.clock();
        while (budget.available() + context.status().pendingCloses() <= acceptor.reserve()) {
            FastCgiConnection candidate = leastRecentlyUsed(nowUs);
            if (candidate == null) {
                return;
            }
            candidate.closeIfIdle(IdleClose.Reason.CONNECTION_LIMIT);
        }
    }

    private FastCgiConnection leastRecentlyUsed(long nowUs) {
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
