package petrelplank.fastcgi;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import petrelplank.proxy.EventLoop;
import petrelplank.transport.BoundedAcceptor;
import petrelplank.transport.DescriptorBudget;

/**
 * Closes unused connections: those that timed out, at regular intervals, and idle ones when few file descriptors are
 * left.
 */
final class ConnectionReaper {
    private static final long SWEEP_INTERVAL_US = 250_000;
    /** A client that accepts no byte of its responses for this long does not read them. */
    private static final long STALL_TIMEOUT_US = 30_000_000;
    /** The same while memory is short, or while few descriptors are left and no idle connection can make room. */
    private static final long SHORT_STALL_TIMEOUT_US = 2_000_000;

    private final ListenerContext context;
    private final EventLoop loop;
    private final BoundedAcceptor acceptor;
    private final DescriptorBudget budget;
    private final Collection<FastCgiConnection> connections;
    private final DeliveryMonitor deliveryMonitor;

    /**
     * Creates a reaper; {@link #sweep} starts it.
     *
     * @param context the objects that all connections of the listener share
     * @param budget the file descriptors that client connections may hold
     * @param connections all open connections; a concurrent collection
     * @param deliveryMonitor finds out whether responses have been delivered
     */
    ConnectionReaper(
            ListenerContext context,
            DescriptorBudget budget,
            Collection<FastCgiConnection> connections,
            DeliveryMonitor deliveryMonitor) {
        this.context = context;
        this.loop = context.loop();
        this.acceptor = context.acceptor();
        this.budget = budget;
        this.connections = connections;
        this.deliveryMonitor = deliveryMonitor;
    }

    /**
     * Closes connections that timed out, and schedules the next sweep. This frees the descriptors and memory of clients
     * that send nothing, stop in the middle of a request, or keep connections open without using them. A connection with
     * undelivered responses is kept for as long as its client goes on to read. Called by the event thread.
     */
    void sweep() {
        long nowUs = loop.nowUs();
        long unreadBytes = acceptor.getScheduledWriteBytes();
        boolean memoryShort = context.unreadMemory().isShort(unreadBytes);
        boolean memoryFilling = context.unreadMemory().isFilling(unreadBytes);
        List<FastCgiConnection> undelivered = new ArrayList<>();
        for (FastCgiConnection connection : connections) {
            boolean complete = connection.delivery().isComplete();
            boolean timedOut = connection.isTimedOut(nowUs);
            if (memoryShort && connection.isStalledFor(SHORT_STALL_TIMEOUT_US)) {
                connection.resetIfStalled(SHORT_STALL_TIMEOUT_US);
            } else if (timedOut && complete) {
                connection.closeTimedOut();
            } else if (timedOut && connection.isStalledFor(STALL_TIMEOUT_US)) {
                connection.resetIfStalled(STALL_TIMEOUT_US);
            } else if (!complete && (memoryFilling || timedOut)) {
                undelivered.add(connection);
            }
        }
        deliveryMonitor.check(undelivered);
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
            Optional<FastCgiConnection> candidate = findLeastRecentlyUsed(connection -> connection.isEvictable(nowUs));
            if (candidate.isEmpty()) {
                makeRoomAmongUndelivered();
                return;
            }
            candidate.get().closeIfIdle(IdleConnectionCloser.Reason.CONNECTION_LIMIT);
        }
    }

    /** Closes one connection whose client does not read, and finds out which others may be closed the next time. */
    private void makeRoomAmongUndelivered() {
        findLeastRecentlyUsed(connection -> connection.isStalledFor(SHORT_STALL_TIMEOUT_US))
                .ifPresent(connection -> connection.resetIfStalled(SHORT_STALL_TIMEOUT_US));
        deliveryMonitor.check(connections.stream()
                .filter(connection -> !connection.delivery().isComplete())
                .toList());
    }

    private Optional<FastCgiConnection> findLeastRecentlyUsed(Predicate<FastCgiConnection> condition) {
        return connections.stream().filter(condition).min(Comparator.comparingLong(FastCgiConnection::lastUsedUs));
    }
}
