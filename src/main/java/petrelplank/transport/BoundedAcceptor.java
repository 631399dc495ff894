package petrelplank.transport;

import java.nio.channels.ServerSocketChannel;
import java.util.function.BooleanSupplier;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * An acceptor that acquires a permit from its {@link DescriptorBudget} before it accepts a connection. MINA's own
 * acceptor accepts all waiting connections in its accepting thread and passes them to the I/O thread. While the I/O
 * thread waits for a CPU, hundreds of sockets that are not yet counted may use up the file descriptors, and connections
 * accepted after that cannot be served. With this acceptor, they wait in the kernel's accept queue.
 */
public final class BoundedAcceptor extends NioSocketAcceptor {
    /** Longest wait of the accepting thread for a permit before it returns to its other tasks. */
    private static final long MAX_ACQUIRE_WAIT_MS = 5;
    /** The reserve is the capacity divided by this. */
    private static final int RESERVE_DIVISOR = 16;

    private final SharedProcessor processor;
    private final DescriptorBudget budget;
    private volatile Runnable onNearlyFull = () -> {};
    /** Written by the accepting thread alone. */
    private volatile long emptySelections;

    /**
     * Creates an acceptor whose sockets hold permits of a budget.
     *
     * @param processor the I/O processor that serves the accepted connections
     * @param budget the file descriptors available to its sockets
     */
    public BoundedAcceptor(SharedProcessor processor, DescriptorBudget budget) {
        super(processor);
        this.processor = processor;
        this.budget = budget;
        processor.setDescriptorBudget(this, budget);
    }

    /**
     * Sets the task that runs when no more than the reserve is left. The accepting thread runs it before each accept
     * until more permits are available.
     *
     * @param task closes connections that are not needed
     */
    public void onNearlyFull(Runnable task) {
        onNearlyFull = task;
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel serverChannel) throws Exception {
        if (budget.available() <= reserve()) {
            onNearlyFull.run();
        }
        if (!budget.tryAcquire(MAX_ACQUIRE_WAIT_MS)) {
            return null;
        }
        NioSession session = null;
        try {
            session = super.accept(processor, serverChannel);
            return session;
        } finally {
            if (session == null) {
                budget.release();
            }
        }
    }

    @Override
    protected int select() throws Exception {
        int readyCount = super.select();
        if (readyCount == 0) {
            emptySelections++;
        }
        return readyCount;
    }

    /**
     * Number of selections of the accepting thread that found no connection waiting in the kernel's accept queue. A
     * listening socket that is closed resets those that wait. Wakes the accepting thread to make one more selection.
     *
     * @return empty selections so far
     */
    public long emptySelections() {
        wakeup();
        return emptySelections;
    }

    /**
     * Number of iterations of the I/O loop.
     *
     * @return see {@link SharedProcessor#loopIterations}
     */
    public long turns() {
        return processor.loopIterations();
    }

    /**
     * Earliest time at which the bytes being read may have arrived in the kernel's buffers.
     *
     * @return see {@link SharedProcessor#earliestArrivalUs}
     */
    public long unreadSinceUs() {
        return processor.earliestArrivalUs();
    }

    /**
     * Closes a connection that has no open request; see {@link SharedProcessor#closeIfIdle}.
     *
     * @param session the connection
     * @param stillIdle tells whether the connection may still be closed
     * @param onKeptOpen runs if the connection is kept open
     */
    public void closeIfIdle(IoSession session, BooleanSupplier stillIdle, Runnable onKeptOpen) {
        processor.closeIfIdle(session, stillIdle, onKeptOpen);
    }

    /**
     * Shuts down the sending side of a connection; see {@link SharedProcessor#shutdownOutput}.
     *
     * @param session the connection
     * @param allWritten tells whether nothing more is to be written
     */
    public void shutdownOutput(IoSession session, BooleanSupplier allWritten) {
        processor.shutdownOutput(session, allWritten);
    }

    /**
     * Whether bytes wait to be written on a connection because its socket has taken only a part of them so far; see
     * {@link SharedProcessor#isWriteIncomplete}.
     *
     * @param session the connection
     * @return false also if the connection is closed
     */
    public boolean isWriteIncomplete(IoSession session) {
        return processor.isWriteIncomplete(session);
    }

    /**
     * Number of permits kept in reserve, so that a new client need not wait until a descriptor has been closed.
     *
     * @return a sixteenth of the budget, at least 1
     */
    public int reserve() {
        return Math.max(1, budget.capacity() / RESERVE_DIVISOR);
    }
}
