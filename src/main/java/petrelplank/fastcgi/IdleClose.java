package petrelplank.fastcgi;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.apache.mina.core.session.IoSession;
import petrelplank.transport.BoundedAcceptor;

/**
 * Closes one connection that nothing is open on, unless a request has come in meanwhile. Requested in any thread; the
 * I/O thread decides, which may keep the connection open, so that the close may be requested again later.
 */
final class IdleClose {
    /** Why a connection is closed. */
    enum Reason {
        /** It was idle, or left a request incomplete, for too long. */
        IDLE,
        /** Connections run short, and others need its place. */
        CONNECTION_LIMIT
    }

    private enum State {
        OPEN,
        CLOSE_REQUESTED,
        CLOSED
    }

    /** Bytes of a request at its limits; a body in small records takes up to as many again for their headers. */
    private static final long MAX_REQUEST_BYTES =
            2L * (RequestAssembler.MAX_PARAMS_BYTES + RequestAssembler.MAX_BODY_BYTES);

    private final IoSession session;
    private final BoundedAcceptor acceptor;
    private final ListenerStatus listener;
    private final ConnectionActivity activity;
    private final BooleanSupplier unused;

    private final AtomicReference<State> state = new AtomicReference<>(State.OPEN);
    private volatile Reason reason = Reason.IDLE;
    /** Of the first request since the connection was last used: when that was, and the bytes read in all by then. */
    private volatile long requestedLastUsedUs;

    private volatile long requestedReadBytes;

    /**
     * For one connection, which is open.
     *
     * @param session the connection
     * @param context what it shares with others
     * @param activity when it was last in use
     * @param unused whether nothing is open on it and nothing unsent
     */
    IdleClose(IoSession session, ListenerContext context, ConnectionActivity activity, BooleanSupplier unused) {
        this.session = session;
        this.acceptor = context.acceptor();
        this.listener = context.status();
        this.activity = activity;
        this.unused = unused;
    }

    /** Whether the connection is open and no close is requested. */
    boolean isOpen() {
        return state.get() == State.OPEN;
    }

    /**
     * Closes the connection, unless something lies unread on it when the I/O thread looks, or a request came. Where
     * more was read since the first request than a client's request can hold, and nothing complete came of it, it is
     * junk: then the connection is closed whatever lies unread. Less may be a long request, which takes several reads.
     */
    void request(Reason why) {
        // Counted first: the I/O thread may be closing it for a reason of its own.
        listener.closeRequested();
        if (!state.compareAndSet(State.OPEN, State.CLOSE_REQUESTED)) {
            listener.closeDecided();
            return;
        }
        reason = why;
        ConnectionActivity.Snapshot before = activity.snapshot();
        if (hasReadOnlyJunk(before)) {
            session.closeNow();
            return;
        }
        acceptor.closeIfIdle(session, () -> unused.getAsBoolean() && activity.isUnchangedSince(before), this::kept);
    }

    private boolean hasReadOnlyJunk(ConnectionActivity.Snapshot now) {
        long readBytes = session.getReadBytes();
        if (now.lastUsedUs() != requestedLastUsedUs) {
            requestedLastUsedUs = now.lastUsedUs();
            requestedReadBytes = readBytes;
            return false;
        }
        return readBytes - requestedReadBytes > MAX_REQUEST_BYTES;
    }

    private void kept() {
        if (state.compareAndSet(State.CLOSE_REQUESTED, State.OPEN)) {
            listener.closeDecided();
        }
    }

    /**
     * The connection is closed, for whatever reason.
     *
     * @return whether a close was requested
     */
    boolean closed() {
        if (state.getAndSet(State.CLOSED) != State.CLOSE_REQUESTED) {
            return false;
        }
        listener.closeDecided();
        return true;
    }

    /** Why the close was requested last. */
    Reason reason() {
        return reason;
    }
}
