package petrelplank.fastcgi;

import java.util.concurrent.atomic.AtomicLong;
import petrelplank.proxy.EventLoop;
import petrelplank.transport.BoundedAcceptor;

/** Tracks when a connection was last used. Written by the I/O thread and the event thread, read by any thread. */
final class ConnectionActivity {
    /** A connection is closed if its first request, or one that was started, is incomplete after this time. */
    static final long REQUEST_TIMEOUT_US = 2_000_000;
    /** Clients close idle connections after 4 s; a connection that a client leaves idle is closed after this time. */
    static final long IDLE_TIMEOUT_US = 5_000_000;
    /**
     * The first request of a new connection may still be unread in the kernel. The connection is therefore not evicted
     * before this time and two turns of the I/O loop have passed.
     */
    private static final long FIRST_REQUEST_WAIT_US = REQUEST_TIMEOUT_US / 8;

    /**
     * What the client's system has accepted may still wait in its receive buffer, where the proxy cannot see it. A
     * connection counts as idle only once a client that reads at this rate has read all of its responses.
     */
    private static final long MIN_CLIENT_BYTES_PER_SECOND = 100_000;
    /** Longest time that the responses sent so far are assumed to take a client to read. */
    private static final long MAX_READING_TIME_US = 30_000_000;

    private static final long US_PER_SECOND = 1_000_000;
    private static final long NO_PARTIAL_REQUEST = 0;

    private final EventLoop loop;
    private final BoundedAcceptor acceptor;
    private final long acceptedAtTurn;
    /** When a complete request was last received, or a response sent or delivered; initially when it was opened. */
    private volatile long lastUsedUs;

    /** When a client that reads slowly has read all responses sent so far. */
    private final AtomicLong readByUs = new AtomicLong();

    private volatile boolean receivedRequest;
    /**
     * When the I/O thread first saw that a request or record was incomplete; {@link #NO_PARTIAL_REQUEST} while there is
     * none.
     */
    private volatile long partialRequestSinceUs = NO_PARTIAL_REQUEST;

    /** The activity at one moment, to be compared with a later one. */
    record Snapshot(long lastUsedUs, long partialRequestSinceUs) {}

    ConnectionActivity(EventLoop loop, BoundedAcceptor acceptor) {
        this.loop = loop;
        this.acceptor = acceptor;
        this.lastUsedUs = loop.clockUs();
        this.acceptedAtTurn = acceptor.turns();
    }

    void onRequestReceived() {
        receivedRequest = true;
        lastUsedUs = loop.clockUs();
    }

    void onResponseSent(int bytes) {
        long nowUs = loop.clockUs();
        lastUsedUs = nowUs;
        long readingTimeUs = bytes * US_PER_SECOND / MIN_CLIENT_BYTES_PER_SECOND;
        readByUs.updateAndGet(byUs -> Math.min(Math.max(byUs, nowUs) + readingTimeUs, nowUs + MAX_READING_TIME_US));
    }

    /** Called when the client's system has accepted all responses, some time after they were sent. */
    void onResponsesDelivered() {
        lastUsedUs = loop.clockUs();
    }

    /** Called after each read; {@code insideRequest} says whether the input so far ends inside a request or record. */
    void onBytesRead(boolean insideRequest) {
        if (!insideRequest) {
            partialRequestSinceUs = NO_PARTIAL_REQUEST;
        } else if (partialRequestSinceUs == NO_PARTIAL_REQUEST) {
            partialRequestSinceUs = loop.clockUs();
        }
    }

    long lastUsedUs() {
        return lastUsedUs;
    }

    Snapshot snapshot() {
        return new Snapshot(lastUsedUs, partialRequestSinceUs);
    }

    boolean isUnchangedSince(Snapshot earlier) {
        return lastUsedUs == earlier.lastUsedUs && partialRequestSinceUs == earlier.partialRequestSinceUs;
    }

    /** Whether a request has been received, or would have been if the client had sent one when it connected. */
    boolean isFirstRequestReceivedOrOverdue(long nowUs) {
        return receivedRequest || nowUs - lastUsedUs > FIRST_REQUEST_WAIT_US && acceptor.turns() > acceptedAtTurn + 1;
    }

    /** Whether the connection has been idle, or a request on it incomplete, for too long. */
    boolean isTimedOut(long nowUs) {
        long sinceUs = partialRequestSinceUs;
        if (sinceUs > NO_PARTIAL_REQUEST && receivedRequest) {
            return nowUs - sinceUs > REQUEST_TIMEOUT_US;
        }
        if (!receivedRequest) {
            return nowUs - lastUsedUs > REQUEST_TIMEOUT_US;
        }
        return nowUs - Math.max(lastUsedUs, readByUs.get()) > IDLE_TIMEOUT_US;
    }
}
