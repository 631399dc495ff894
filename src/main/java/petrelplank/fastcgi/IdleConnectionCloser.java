package petrelplank.fastcgi;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.apache.mina.core.session.IoSession;
import petrelplank.transport.BoundedAcceptor;

/**
 * Closes one connection without open requests, unless a request arrives meanwhile. Any thread may request the close;
 * the I/O thread then closes the connection or keeps it open. If it is kept open, the close can be requested again.
 */
final class IdleConnectionCloser {
    /** Reason for closing a connection. */
    enum Reason {
        /** The connection was idle, or a request on it incomplete, for too long, or the proxy is shutting down. */
        IDLE,
        /** The number of connections is near its limit, and new ones need room. */
        CONNECTION_LIMIT,
        /** The client does not take its responses. */
        STALLED
    }

    private enum State {
        OPEN,
        CLOSE_REQUESTED,
        CLOSED
    }

    /** Bytes of a request of maximum size. The factor 2 allows for the record headers of a body in small records. */
    private static final long MAX_REQUEST_BYTES =
            2L * (RequestAssembler.MAX_PARAMS_BYTES + RequestAssembler.MAX_BODY_BYTES);

    private final IoSession session;
    private final BoundedAcceptor acceptor;
    private final ListenerStatus listenerStatus;
    private final ConnectionActivity activity;

    private final AtomicReference<State> state = new AtomicReference<>(State.OPEN);
    private volatile Reason reason = Reason.IDLE;
    /**
     * When the connection was last used, as seen by the first close request after that use. Together with
     * {@link #baselineReadBytes} the baseline for later close requests.
     */
    private volatile long baselineLastUsedUs;

    /** Total bytes read from the connection at the first close request since it was last used. */
    private volatile long baselineReadBytes;

    /**
     * Creates the closer of one connection, which is open.
     *
     * @param session the connection
     * @param context the objects that all connections of the listener share
     * @param activity when the connection was last used
     */
    IdleConnectionCloser(IoSession session, ListenerContext context, ConnectionActivity activity) {
        this.session = session;
        this.acceptor = context.acceptor();
        this.listenerStatus = context.status();
        this.activity = activity;
    }

    /** Whether the connection is open and no close has been requested. */
    boolean isOpen() {
        return state.get() == State.OPEN;
    }

    /**
     * Requests a close. The I/O thread keeps the connection open if bytes lie unread on it or a request has arrived
     * meanwhile. If more bytes have been read since the first close request than the largest request has, and none was
     * completed, the input is invalid and the connection is closed even if bytes are unread. Fewer bytes may belong to
     * a long request, which takes several reads.
     *
     * @param reason why the connection is to be closed
     * @param mayClose evaluated last, in the I/O thread: if it returns true, the connection is closed
     */
    void requestClose(Reason reason, BooleanSupplier mayClose) {
        // Incremented before the state changes: the I/O thread may close the connection for another reason right
        // afterwards, and then decrements the count.
        listenerStatus.addPendingClose();
        if (!state.compareAndSet(State.OPEN, State.CLOSE_REQUESTED)) {
            listenerStatus.removePendingClose();
            return;
        }
        this.reason = reason;
        ConnectionActivity.Snapshot before = activity.snapshot();
        if (exceedsMaxRequestBytes(before)) {
            session.closeNow();
            return;
        }
        acceptor.closeIfIdle(session, () -> activity.isUnchangedSince(before) && mayClose.getAsBoolean(), this::onKept);
    }

    /**
     * Whether more has been read since the first close request than the largest request has, without completing one.
     * Sets the baseline if the connection has been used since.
     */
    private boolean exceedsMaxRequestBytes(ConnectionActivity.Snapshot current) {
        long readBytes = session.getReadBytes();
        if (current.lastUsedUs() != baselineLastUsedUs) {
            baselineLastUsedUs = current.lastUsedUs();
            baselineReadBytes = readBytes;
            return false;
        }
        return readBytes - baselineReadBytes > MAX_REQUEST_BYTES;
    }

    /** Called by the I/O thread if it keeps the connection open. */
    private void onKept() {
        if (state.compareAndSet(State.CLOSE_REQUESTED, State.OPEN)) {
            listenerStatus.removePendingClose();
        }
    }

    /**
     * Called when the connection has been closed, for whatever reason.
     *
     * @return whether an idle close was requested
     */
    boolean onClosed() {
        if (state.getAndSet(State.CLOSED) != State.CLOSE_REQUESTED) {
            return false;
        }
        listenerStatus.removePendingClose();
        return true;
    }

    /** The reason of the last close request. */
    Reason reason() {
        return reason;
    }
}
