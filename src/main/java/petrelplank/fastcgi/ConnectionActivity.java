package petrelplank.fastcgi;

import petrelplank.proxy.EventLoop;
import petrelplank.transport.BoundedAcceptor;

/** When a connection was last in use. Written by the I/O thread and the event thread, read by any. */
final class ConnectionActivity {
    /** A connection that brings no complete request in this time, or leaves one half sent, is closed. */
    static final long REQUEST_TIMEOUT_US = 2_000_000;
    /** Clients close idle connections after 4 s; those that never do are closed after this. */
    static final long IDLE_TIMEOUT_US = 5_000_000;
    /**
     * A new connection's first request may still lie unread in the kernel; the connection is not closed to make room
     * before this time and two turns of the I/O loop.
     */
    private static final long FIRST_REQUEST_US = REQUEST_TIMEOUT_US / 8;

    private static final long NONE = 0;

    private final EventLoop loop;
    private final BoundedAcceptor acceptor;
    private final long acceptedInTurn;
    /** When it last brought a complete request, or a response was written to it; its start before that. */
    private volatile long lastUsedUs;

    private volatile boolean receivedRequest;
    /** Since when a request is being received; {@link #NONE} while none is. */
    private volatile long partialSinceUs = NONE;

    /** A state to compare a later one with. */
    record Snapshot(long lastUsedUs, long partialSinceUs) {}

    ConnectionActivity(EventLoop loop, BoundedAcceptor acceptor) {
        this.loop = loop;
        this.acceptor = acceptor;
        this.lastUsedUs = loop.clock();
        this.acceptedInTurn = acceptor.turns();
    }

    void requestReceived() {
        receivedRequest = true;
        lastUsedUs = loop.clock();
    }

    void responseSent() {
        lastUsedUs = loop.clock();
    }

    /** Bytes were read, and end inside a request or not. */
    void bytesRead(boolean insideRequest) {
        if (!insideRequest) {
            partialSinceUs = NONE;
        } else if (partialSinceUs == NONE) {
            partialSinceUs = loop.clock();
        }
    }

    long lastUsedUs() {
        return lastUsedUs;
    }

    Snapshot snapshot() {
        return new Snapshot(lastUsedUs, partialSinceUs);
    }

    boolean isUnchangedSince(Snapshot earlier) {
        return lastUsedUs == earlier.lastUsedUs && partialSinceUs == earlier.partialSinceUs;
    }

    /** Whether it has brought a request, or would have by now. */
    boolean isPastFirstRequest(long nowUs) {
        return receivedRequest || nowUs - lastUsedUs > FIRST_REQUEST_US && acceptor.turns() > acceptedInTurn + 1;
    }

    /** Whether it was idle, or a request on it incomplete, for too long. */
    boolean isTimedOut(long nowUs) {
        long partialSince = partialSinceUs;
        if (partialSince > NONE && receivedRequest) {
            return nowUs - partialSince > REQUEST_TIMEOUT_US;
        }
        return nowUs - lastUsedUs > (receivedRequest ? IDLE_TIMEOUT_US : REQUEST_TIMEOUT_US);
    }
}
