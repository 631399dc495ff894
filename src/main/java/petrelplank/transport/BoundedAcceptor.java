package petrelplank.transport;

import java.nio.channels.ServerSocketChannel;
import java.util.function.BooleanSupplier;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * An acceptor that accepts no connection before it has a place for it in its {@link DescriptorBudget}. MINA's own
 * accepts all that wait, in a thread of its own, and hands them to the I/O thread: while that thread waits for the
 * processor, hundreds of sockets that nothing counts may use up the descriptors, and connections accepted after that
 * can't be served. Here they wait in the kernel's accept queue.
 */
public final class BoundedAcceptor extends NioSocketAcceptor {
    /** How long the accepting thread waits for a place before it looks at its other duties. */
    private static final long MAX_ACQUIRE_WAIT_MS = 5;
    /** One place in so many is kept free. */
    private static final int RESERVE_ONE_IN = 16;

    private final SharedProcessor processor;
    private final DescriptorBudget budget;
    private volatile Runnable onNearlyFull = () -> {};

    /**
     * An acceptor whose sockets hold places of a budget.
     *
     * @param processor the I/O processor
     * @param budget places for its sockets
     */
    public BoundedAcceptor(SharedProcessor processor, DescriptorBudget budget) {
        super(processor);
        this.processor = processor;
        this.budget = budget;
        processor.setDescriptorBudget(this, budget);
    }

    /**
     * Sets what is done where only the reserve is left; run in the accepting thread, before each accept while it is so.
     *
     * @param task closes connections that can be spared
     */
    public void onNearlyFull(Runnable task) {
        onNearlyFull = task;
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle) throws Exception {
        if (budget.available() <= reserve()) {
            onNearlyFull.run();
        }
        if (!budget.tryAcquire(MAX_ACQUIRE_WAIT_MS)) {
            return null;
        }
        NioSession session = null;
        try {
            session = super.accept(processor, handle);
            return session;
        } finally {
            if (session == null) {
                budget.release();
            }
        }
    }

    /**
     * Turns of the I/O loop.
     *
     * @return see {@link SharedProcessor#turns}
     */
    public long turns() {
        return processor.turns();
    }

    /**
     * Since when what is being read may have lain in the kernel's buffers.
     *
     * @return see {@link SharedProcessor#unreadSinceUs}
     */
    public long unreadSinceUs() {
        return processor.unreadSinceUs();
    }

    /**
     * Closes a connection that has no open request; see {@link SharedProcessor#closeIfIdle}.
     *
     * @param session the connection
     * @param stillIdle whether it may still be closed
     * @param onKept run where the connection is kept
     */
    public void closeIfIdle(IoSession session, BooleanSupplier stillIdle, Runnable onKept) {
        processor.closeIfIdle(session, stillIdle, onKept);
    }

    /**
     * Ends the sending side of a connection; see {@link SharedProcessor#shutdownOutput}.
     *
     * @param session the connection
     * @param isDone whether nothing more is to be written
     */
    public void shutdownOutput(IoSession session, BooleanSupplier isDone) {
        processor.shutdownOutput(session, isDone);
    }

    /**
     * Places kept free, so that a new client needn't wait until a descriptor has been closed.
     *
     * @return a sixteenth of the budget, at least 1
     */
    public int reserve() {
        return Math.max(1, budget.capacity() / RESERVE_ONE_IN);
    }
}
