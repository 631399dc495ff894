package petrelplank.transport;

import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.apache.mina.core.service.IoService;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * MINA's I/O processor, with its one thread and selector, shared by all acceptors and connectors of a proxy. It adds
 * three things: descriptor places are released when descriptors are closed ({@link DescriptorReleases}), it tells since
 * when bytes may have lain unread ({@link SelectionTimes}), and it closes connections only where nothing lies unread
 * on them ({@link PendingCloses}).
 */
public final class SharedProcessor extends NioProcessor {
    /**
     * Longest wait of the selector, so that what was read is known to have come no longer ago than this, but for the
     * time in which the process itself was held up: an idle proxy uses 0.005 of a core so, 0.003 without.
     */
    private static final long MAX_SELECT_WAIT_MS = 20;

    private final SelectionTimes selections;
    private final DescriptorReleases descriptorReleases = new DescriptorReleases();
    private final PendingCloses pendingCloses = new PendingCloses();
    private volatile long turns;

    /**
     * A processor that starts with its first socket.
     *
     * @param executor gives its one thread
     * @param clock the Unix clock in microseconds
     */
    public SharedProcessor(Executor executor, LongSupplier clock) {
        super(executor);
        this.selections = new SelectionTimes(clock);
    }

    /**
     * Sets the budget in which the sockets of a service hold places. The service acquires them; they are released
     * here.
     *
     * @param service an acceptor or connector on this processor
     * @param budget its budget
     */
    public void setDescriptorBudget(IoService service, DescriptorBudget budget) {
        descriptorReleases.setBudget(service, budget);
    }

    /**
     * Since when what is being read may have lain in the kernel's buffers: the selection before the last, which found
     * nothing of it. A process that was held up meanwhile reads late, but a client counts from its sending.
     *
     * @return Unix time in microseconds; from the I/O thread, while it reads
     */
    public long unreadSinceUs() {
        return selections.previousUs();
    }

    /**
     * Turns of the I/O loop: what lay unread at one moment has been read two turns later.
     *
     * @return turns so far; from any thread
     */
    public long turns() {
        return turns;
    }

    /**
     * Selections of the selector: what lay unread before one has been read before the next.
     *
     * @return selections so far; from any thread
     */
    public long selections() {
        return selections.count();
    }

    /**
     * Closes a connection that has no open request, unless bytes lie unread in the kernel's buffers: a proxy that waits
     * for the processor takes a connection for idle whose request it has not read. The I/O thread decides, right after
     * a selection; where there is something to read, the connection is kept. From any thread.
     *
     * @param session the connection
     * @param stillIdle whether it may still be closed; asked in the I/O thread, after all that was read there
     * @param onKept run in the I/O thread where the connection is kept
     */
    public void closeIfIdle(IoSession session, BooleanSupplier stillIdle, Runnable onKept) {
        pendingCloses.addIdleClose(session, stillIdle, onKept);
        wakeup();
    }

    /**
     * Shuts the sending side of a connection down once all is written: closing it over unread bytes would reset it,
     * and lose responses that the client has not read yet. From any thread.
     *
     * @param session the connection
     * @param isDone whether nothing more is to be written; asked in the I/O thread at each turn until it holds
     */
    public void shutdownOutput(IoSession session, BooleanSupplier isDone) {
        pendingCloses.addOutputShutdown(session, isDone);
        wakeup();
    }

    @Override
    protected void destroy(NioSession session) throws Exception {
        IoService service = session.getService();
        try {
            super.destroy(session);
        } finally {
            descriptorReleases.socketClosed(service);
        }
    }

    @Override
    protected int select(long timeoutMs) throws Exception {
        turns++;
        pendingCloses.shutDownFinishedOutputs(selector);
        if (descriptorReleases.hasPending() || pendingCloses.hasIdleCloses()) {
            int idleCloses = pendingCloses.idleCloseCount();
            int ready = select();
            pendingCloses.closeIdle(selector, idleCloses);
            // Guards against a lost wake-up: the selection above has consumed it, but its flag, which is set before
            // the selector is woken, still stands.
            if (ready > 0 || wakeupCalled.get()) {
                return ready;
            }
        }
        return selectInSteps(timeoutMs);
    }

    private int selectInSteps(long timeoutMs) throws Exception {
        int ready;
        long leftMs = timeoutMs;
        do {
            ready = super.select(Math.min(MAX_SELECT_WAIT_MS, leftMs));
            selections.selected();
            leftMs -= MAX_SELECT_WAIT_MS;
            // MINA takes an early return without ready sockets for a broken selector, so it is not given one.
        } while (ready == 0 && leftMs > 0 && !wakeupCalled.get());
        return ready;
    }

    @Override
    protected int select() throws Exception {
        int ready = super.select();
        selections.selected();
        descriptorReleases.releasePending();
        return ready;
    }
}
