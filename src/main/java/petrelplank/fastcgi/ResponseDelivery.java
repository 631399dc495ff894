package petrelplank.fastcgi;

import java.net.InetSocketAddress;
import java.util.OptionalLong;
import org.apache.mina.core.RuntimeIoException;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import petrelplank.transport.BoundedAcceptor;
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

    /** A client counts as stalled if checks this far apart find no progress, in microseconds. */
    private static final long STALLED_US = 500_000;

    private final IoSession session;
    /** Kept, since a session that has been closed need not tell it any more. */
    private final InetSocketAddress peer;
    /** Bytes that have certainly reached the client's system. */
    private volatile long deliveredBytes;
    /** Time of the last check, and of the first one since which {@link #deliveredBytes} has not grown. */
    private volatile long lastCheckUs;

    private volatile long noProgressSinceUs;
    /** Time of the last check that found more delivered than the one before; long ago before there is one. */
    private volatile long lastProgressUs = -STALLED_US;
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
        this.peer = (InetSocketAddress) session.getRemoteAddress();
    }

    InetSocketAddress peer() {
        return peer;
    }

    /** Bytes that are to be written or, by the last check, have not reached the client's system. */
    long undeliveredBytes() {
        return session.getScheduledWriteBytes() + Math.max(0, session.getWrittenBytes() - deliveredBytes);
    }

    /** Whether the last check has found undelivered bytes. Event thread only. */
    boolean isWaiting() {
        return waiting;
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
        return !isComplete() && stalledForUs() > durationUs;
    }

    /** Time between the last check and the first one that found as many bytes delivered. */
    long stalledForUs() {
        // The order matters: the time of the last check is written last.
        long checkedUs = lastCheckUs;
        return checkedUs - noProgressSinceUs;
    }

    /**
     * Whether bytes wait for the client's socket, and no check has lately found that the client takes any. It may also
     * be true of a client that reads, until checks have found it to.
     */
    boolean mayBeStalled(BoundedAcceptor acceptor) {
        return acceptor.isWriteIncomplete(session) && lastCheckUs - lastProgressUs >= STALLED_US;
    }

    /**
     * Records the result of a check.
     *
     * @param writtenBytes the bytes that had been written before the check
     * @param queues the send queues of all listed connections
     * @param nowUs the current time
     */
    CheckResult onChecked(long writtenBytes, SendQueues queues, long nowUs) {
        OptionalLong unacknowledgedBytes = queues.unacknowledgedBytes(peer);
        missedChecks = unacknowledgedBytes.isPresent() ? 0 : missedChecks + 1;
        if (missedChecks > 0 && missedChecks < MAX_MISSED_CHECKS) {
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

    /**
     * Has the next close reset the connection: otherwise the kernel would keep undelivered responses in its memory.
     *
     * @return true, so that it can be the last condition of a close
     */
    boolean discardOnClose() {
        try {
            ((SocketSessionConfig) session.getConfig()).setSoLinger(0);
        } catch (RuntimeIoException e) {
            // The connection is closed already.
        }
        return true;
    }

    private void recordProgress(long delivered, long nowUs) {
        boolean allDelivered = delivered == session.getWrittenBytes();
        if (delivered > deliveredBytes && (waiting || allDelivered)) {
            lastProgressUs = nowUs;
        }
        if (delivered > deliveredBytes || !waiting) {
            deliveredBytes = Math.max(deliveredBytes, delivered);
            noProgressSinceUs = nowUs;
        }
        lastCheckUs = nowUs;
    }
}
