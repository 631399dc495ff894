package petrelplank.transport;

import java.io.IOException;
import java.nio.channels.CancelledKeyException;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.apache.mina.core.service.IoService;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * MINA's I/O processor, with a single thread and selector, shared by all acceptors and connectors of a proxy. It adds
 * three things to MINA's: it releases permits once descriptors are closed ({@link DescriptorReleases}), it tells the
 * earliest time at which received bytes may have arrived ({@link SelectionTimes}), and it closes an idle connection
 * only if no bytes are unread on it ({@link PendingCloses}).
 */
public final class SharedProcessor extends NioProcessor {
    /**
     * Longest wait of the selector. Bytes that are read have then arrived at most this long ago, not counting time
     * during which the process itself did not run. With this limit an idle proxy uses 0.005 of a core, without it
     * 0.003.
     */
    private static final long MAX_SELECT_WAIT_MS = 20;

    private final SelectionTimes selections;
    private final DescriptorReleases descriptorReleases = new DescriptorReleases();
    private final PendingCloses pendingCloses = new PendingCloses();
    private volatile long loopIterations;

    /**
     * Creates a processor whose thread starts with the first socket.
     *
     * @param executor provides its single thread
     * @param clock the Unix clock in microseconds
     */
    public SharedProcessor(Executor executor, LongSupplier clock) {
        super(executor);
        this.selections = new SelectionTimes(clock);
    }

    /**
     * Sets the descriptor budget of a service, in which each of its open sockets holds a permit. The service acquires
     * the permits, this processor releases them.
     *
     * @param service an acceptor or connector on this processor
     * @param budget its budget
     */
    public void setDescriptorBudget(IoService service, DescriptorBudget budget) {
        descriptorReleases.setBudget(service, budget);
    }

    /**
     * Earliest time at which the bytes being read may have arrived in the kernel's buffers: the time of the selection
     * before the last, since the bytes were not ready then. A process that did not run in the meantime reads them late,
     * but the client measures from the time at which it sent them. Call from the I/O thread, while it reads.
     *
     * @return Unix time in microseconds
     */
    public long earliestArrivalUs() {
        return selections.previousSelectionUs();
    }

    /**
     * Number of iterations of the I/O loop. Bytes that are unread when this is called have been read once the
     * number has grown by two. May be called from any thread.
     *
     * @return iterations so far
     */
    public long loopIterations() {
        return loopIterations;
    }

    /**
     * Number of selections of the selector. Bytes that are unread before a selection have been read before the next
     * one. May be called from any thread.
     *
     * @return selections so far
     */
    public long selections() {
        return selections.selectionCount();
    }

    /**
     * Closes a connection that has no open request, unless unread bytes are in the kernel's buffers: if the
     * process was not scheduled for a while, a connection seems idle although a request on it has not been read yet.
     * The I/O thread decides right after a selection, and keeps the connection if there is something to read. May be
     * called from any thread.
     *
     * @param session the connection
     * @param stillIdle tells whether the connection may still be closed; evaluated in the I/O thread, after all that
     *     it has read
     * @param onKeptOpen runs in the I/O thread if the connection is kept open
     */
    public void closeIfIdle(IoSession session, BooleanSupplier stillIdle, Runnable onKeptOpen) {
        pendingCloses.addIdleClose(session, stillIdle, onKeptOpen);
        wakeup();
    }

    /**
     * Shuts down the sending side of a connection once all is written. Closing a connection with unread bytes would
     * reset it, and lose responses that the client has not read yet. May be called from any thread.
     *
     * @param session the connection
     * @param allWritten tells whether nothing more is to be written; evaluated in the I/O thread in each iteration of its
     *     loop until it returns true
     */
    public void shutdownOutput(IoSession session, BooleanSupplier allWritten) {
        pendingCloses.addOutputShutdown(session, allWritten);
        wakeup();
    }

    /**
     * Whether bytes wait to be written on a connection because its socket has taken only a part of them so far. May be
     * called from any thread.
     *
     * @param session the connection
     * @return false also if the connection is closed
     */
    public boolean isWriteIncomplete(IoSession session) {
        try {
            return isInterestedInWrite((NioSession) session);
        } catch (CancelledKeyException e) {
            return false;
        }
    }

    @Override
    protected void destroy(NioSession session) throws Exception {
        IoService service = session.getService();
        try {
            super.destroy(session);
        } finally {
            descriptorReleases.onSocketClosed(service);
        }
    }

    @Override
    protected int select(long timeoutMs) throws Exception {
        loopIterations++;
        pendingCloses.shutDownFinishedOutputs(selector);
        // The JDK closes the descriptors of closed channels only during the next selection, and only a new selection
        // tells whether bytes are unread on idle connections. Both are waited for, so this selection must not block.
        if (descriptorReleases.hasPending() || pendingCloses.hasIdleCloses()) {
            int idleCloseCount = pendingCloses.idleCloseCount();
            int readyCount = selectNow();
            pendingCloses.closeIdleConnections(selector, idleCloseCount);
            // The selection above may have consumed a wake-up. MINA sets wakeupCalled before it wakes the
            // selector, so the flag is still set here and is checked; otherwise the selection below would miss the
            // wake-up.
            if (readyCount > 0 || wakeupCalled.get()) {
                return readyCount;
            }
        }
        return selectInShortWaits(timeoutMs);
    }

    private int selectInShortWaits(long timeoutMs) throws Exception {
        int readyCount;
        long remainingMs = timeoutMs;
        // An early return without ready sockets makes MINA assume a broken selector, so the loop continues to wait.
        do {
            readyCount = super.select(Math.min(MAX_SELECT_WAIT_MS, remainingMs));
            selections.recordSelection();
            remainingMs -= MAX_SELECT_WAIT_MS;
        } while (readyCount == 0 && remainingMs > 0 && !wakeupCalled.get());
        return readyCount;
    }

    private int selectNow() throws IOException {
        int readyCount = selector.selectNow();
        selections.recordSelection();
        descriptorReleases.releasePending();
        return readyCount;
    }
}
