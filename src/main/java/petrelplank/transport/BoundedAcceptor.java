package petrelplank.transport;

import java.nio.channels.ServerSocketChannel;
import java.util.function.BooleanSupplier;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * An acceptor that takes no connection off the machine's queue before it has a place for it. MINA's own accepts all
 * that wait, in a thread of its own, and hands them to the I/O loop: while that loop waits for its turn, hundreds of
 * sockets that no count sees may use up the descriptors, and what was taken then can't be answered.
 */
public final class BoundedAcceptor extends NioSocketAcceptor {
    /** How long the accepting thread waits for a place before it looks at its other duties. */
    private static final long WAIT_MS = 5;

    private final SharedProcessor processor;
    private final DescriptorBudget share;
    private volatile Runnable crowded = () -> {};

    /**
     * An acceptor; its sockets hold places of the share.
     *
     * @param processor the I/O loop
     * @param share places for its sockets
     */
    public BoundedAcceptor(SharedProcessor processor, DescriptorBudget share) {
        super(processor);
        this.processor = processor;
        this.share = share;
        processor.share(this, share);
    }

    /**
     * Sets what is done where places run short; called in the accepting thread, and again while they do.
     *
     * @param task closes what can be spared
     */
    public void whenCrowded(Runnable task) {
        crowded = task;
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle) throws Exception {
        if (share.free() <= reserve()) {
            crowded.run();
        }
        if (!share.take(WAIT_MS)) {
            return null;
        }
        NioSession session = null;
        try {
            session = super.accept(processor, handle);
            return session;
        } finally {
            if (session == null) {
                share.release();
            }
        }
    }

    /**
     * The turns of the I/O loop.
     *
     * @return see {@link SharedProcessor#turns}
     */
    public long turns() {
        return processor.turns();
    }

    /**
     * Since when what is being read may have lain in the machine.
     *
     * @return see {@link SharedProcessor#unreadSinceUs}
     */
    public long unreadSinceUs() {
        return processor.unreadSinceUs();
    }

    /**
     * Closes a connection that nothing is open on.
     *
     * @param session the connection
     * @param notModified see {@link SharedProcessor#closeSpare}
     * @param kept see there
     */
    public void closeSpare(IoSession session, BooleanSupplier still, Runnable kept) {
        processor.closeSpare(session, still, kept);
    }

    /**
     * Ends the sending side of a connection.
     *
     * @param session the connection
     * @param done see {@link SharedProcessor#shutdownOutput}
     */
    public void shutdownOutput(IoSession session, BooleanSupplier done) {
        processor.shutdownOutput(session, done);
    }

    /**
     * Places kept free, so that a newcomer needn't wait until a descriptor has been closed.
     *
     * @return a sixteenth of the share, at least 1
     */
    public int reserve() {
        return Math.max(1, share.most() / 16);
    }
}
