package petrelplank.fastcgi;

import java.net.InetSocketAddress;
import java.util.OptionalLong;
import org.apache.mina.core.RuntimeIoException;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import petrelplank.transport.SendQueues;

/**
 * Tracks whether the responses written on a connection have reached the client's system. A response that MINA has
 * written may still lie in the kernel's send buffer; if the socket is closed then and the client sends anything more,
 * the kernel resets the connection and discards it. Checked by the event thread, read by any thread.
 */
final class ResponseDelivery {
    /**
     * The kernel's list changes while it is read, and may lack a connection once. After this many checks in a row that
     * do not find it, it counts as not listed, and everything written on it as delivered.
     */
    private static final int MAX_MISSED_CHECKS = 2;

    private final IoSession session;
    /** Bytes that have certainly reached the client's system. */
    private volatile long deliveredBytes;
    /** Time of the last check, and of the first one since which {@link #deliveredBytes} has not grown. */
    private volatile long lastCheckUs;

    private volatile long noProgressSinceUs;
    /** Whether a check has found undelivered bytes that have not been delivered since. Event thread only. */
    private boolean waiting;

    private int missedChecks;

    /** What a check has found. */
    enum CheckResult {
        UNCHANGED,
        /** Undelivered bytes were found for the first time since everything was delivered. */
        WAITING_STARTED,
        /** Everything has been delivered, after an earlier check had found undelivered bytes. */
        WAITING_ENDED
    }

    ResponseDelivery(IoSession session) {
        this.session = session;
    }

    /** Bytes that were written to the socket so far. */
    long writtenBytes() {
        return session.getWrittenBytes();
    }

    /** Whether everything that was to be written has been written, and has reached the client's system. */
    boolean isComplete() {
        // The order matters: MINA counts bytes as written before it counts them as no longer scheduled.
        return session.getScheduledWriteBytes() == 0 && deliveredBytes >= session.getWrittenBytes();
    }

    /** Whether the client has accepted none of the undelivered bytes between two checks that lie this far apart. */
    boolean isStalledFor(long durationUs) {
        return !isComplete() && lastCheckUs - noProgressSinceUs > durationUs;
    }

    /**
     * Records the result of a check.
     *
     * @param writtenBytes the bytes that had been written before the check
     * @param queues the send queues of all connections; where they are not available, everything written counts as
     *     delivered
     * @param nowUs the current time
     */
    CheckResult onChecked(long writtenBytes, SendQueues queues, long nowUs) {
        OptionalLong unacknowledgedBytes = queues.unacknowledgedBytes((InetSocketAddress) session.getRemoteAddress());
        missedChecks = unacknowledgedBytes.isPresent() ? 0 : missedChecks + 1;
        if (queues.isAvailable() && missedChecks > 0 && missedChecks < MAX_MISSED_CHECKS) {
            return CheckResult.UNCHANGED;
        }
        recordProgress(writtenBytes - unacknowledgedBytes.orElse(0), nowUs);
        boolean wasWaiting = waiting;
        waiting = !isComplete();
        if (wasWaiting == waiting) {
            return CheckResult.UNCHANGED;
        }
        return waiting ? CheckResult.WAITING_STARTED : CheckResult.WAITING_ENDED;
    }

    /** Has the next close reset the connection: otherwise the kernel would keep undelivered responses in its memory. */
    void discardOnClose() {
        try {
            ((SocketSessionConfig) session.getConfig()).setSoLinger(0);
        } catch (RuntimeIoException e) {
            // The connection is closed already.
        }
    }

    private void recordProgress(long delivered, long nowUs) {
        if (delivered > deliveredBytes || !waiting) {
            deliveredBytes = Math.max(deliveredBytes, delivered);
            noProgressSinceUs = nowUs;
        }
        lastCheckUs = nowUs;
    }
}
