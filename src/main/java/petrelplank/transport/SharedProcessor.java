package petrelplank.transport;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.apache.mina.core.service.IoService;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * MINA's I/O loop, which gives the places of closed sockets back to their {@link DescriptorBudget}. The platform closes the
 * descriptor of a channel that a selector knows only in the selector's next turn, so that a place is given back
 * after that turn and not when MINA reports the session closed.
 */
public final class SharedProcessor extends NioProcessor {
    private final Map<IoService, DescriptorBudget> shares = new ConcurrentHashMap<>();
    /** Of the I/O thread alone. */
    private final List<DescriptorBudget> closing = new ArrayList<>();
    /**
     * Longest wait of the selector, so that what was read is known to have come no longer ago than this, but for the
     * time in which the process itself was held up: an idle front uses 0.005 of a core so, 0.003 without.
     */
    private static final long MOST_WAIT_MS = 20;

    private final LongSupplier clock;
    private volatile long turns;
    /** When the selector last returned, and the time before that; of the I/O thread alone. */
    private long lookedUs;

    private long lookedBeforeUs;
    private volatile long looks;
    private final Queue<Spare> spares = new ConcurrentLinkedQueue<>();

    private record Spare(IoSession session, BooleanSupplier still, Runnable kept) {}

    private final Queue<Finishing> finishing = new ConcurrentLinkedQueue<>();

    private record Finishing(IoSession session, BooleanSupplier done) {}

    /**
     * A loop that starts with its first socket.
     *
     * @param executor gives its one thread
     * @param clock the Unix clock in microseconds
     */
    public SharedProcessor(Executor executor, LongSupplier clock) {
        super(executor);
        this.clock = clock;
        this.lookedUs = clock.getAsLong();
        this.lookedBeforeUs = lookedUs;
    }

    /**
     * Since when what is being read may have lain in the machine: the selector's look before the last, which found
     * nothing of it. A process that was held up meanwhile reads late, but a client counts from its sending.
     *
     * @return Unix time in microseconds; from the I/O thread, while it reads
     */
    public long unreadSinceUs() {
        return lookedBeforeUs;
    }

    /**
     * Names the share that the sockets of a service hold places of.
     *
     * @param service an acceptor or connector on this loop
     * @param share its share
     */
    public void share(IoService service, DescriptorBudget share) {
        shares.put(service, share);
    }

    /**
     * How often the loop has looked at its sockets: what lay unread at one before two turns has been read since.
     *
     * @return turns so far; from any thread
     */
    public long turns() {
        return turns;
    }

    /**
     * Closes a connection on which nothing is open, unless bytes lie unread in the machine: a front that waited for
     * the processor takes a connection for quiet whose request it has not read. The I/O thread decides, right after
     * its selector has looked; where there is something to read, the connection is kept. From any thread.
     *
     * @param session the connection
     * @param notModified whether it may still be closed; asked in the I/O thread, after all that was read there
     * @param kept run in the I/O thread where the connection is kept
     */
    public void closeSpare(IoSession session, BooleanSupplier still, Runnable kept) {
        spares.add(new Spare(session, still, kept));
        wakeup();
    }

    /**
     * Shuts the sending side of a connection down once all is written: closing it over unread bytes would reset it,
     * and take answers with it that the client has not read yet. From any thread.
     *
     * @param session the connection
     * @param done whether nothing more is to be written; asked in the I/O thread at each turn until it holds
     */
    public void shutdownOutput(IoSession session, BooleanSupplier done) {
        finishing.add(new Finishing(session, done));
        wakeup();
    }

    private void finish(Finishing last) {
        SelectionKey key = key(last.session);
        if (key == null || !key.isValid()) {
            finishing.remove(last);
        } else if (last.done.getAsBoolean()) {
            finishing.remove(last);
            shutdownOutput(key);
        }
    }

    private static void shutdownOutput(SelectionKey key) {
        try {
            ((SocketChannel) key.channel()).shutdownOutput();
        } catch (IOException e) {
            // It is broken, and will be closed for that.
        }
    }

    /** Right behind the selector's look, so that a client is told of the close before it can have sent much. */
    private void closeSpares(int asked) {
        for (int i = 0; i < asked; i++) {
            Spare spare = spares.poll();
            SelectionKey key = key(spare.session);
            if (key == null || !key.isValid() || selector.selectedKeys().contains(key) || !spare.still.getAsBoolean()) {
                spare.kept.run();
                continue;
            }
            shutdownOutput(key);
            spare.session.closeNow();
        }
    }

    private SelectionKey key(IoSession session) {
        for (SelectionKey key : selector.keys()) {
            if (key.attachment() == session) {
                return key;
            }
        }
        return null;
    }

    @Override
    protected void destroy(NioSession session) throws Exception {
        DescriptorBudget share = shares.get(session.getService());
        try {
            super.destroy(session);
        } finally {
            if (share != null) {
                closing.add(share);
            }
        }
    }

    @Override
    protected int select(long timeoutMs) throws Exception {
        turns++;
        finishing.forEach(this::finish);
        if (!closing.isEmpty() || !spares.isEmpty()) {
            int asked = spares.size();
            // Guards against a lost wake-up, which this turn takes away: its flag is set before the selector is woken.
            int ready = select();
            closeSpares(asked);
            if (ready > 0 || wakeupCalled.get()) {
                return ready;
            }
        }
        int ready;
        long left = timeoutMs;
        do {
            ready = super.select(Math.min(MOST_WAIT_MS, left));
            looked();
            left -= MOST_WAIT_MS;
            // Not handed back to MINA before its own time: it takes a look that finds nothing for a broken selector.
        } while (ready == 0 && left > 0 && !wakeupCalled.get());
        return ready;
    }

    @Override
    protected int select() throws Exception {
        int ready = super.select();
        looked();
        release();
        return ready;
    }

    /**
     * How often the selector has looked: what lay unread before a look has been read before the next.
     *
     * @return looks so far; from any thread
     */
    public long looks() {
        return looks;
    }

    private void looked() {
        looks++;
        lookedBeforeUs = lookedUs;
        lookedUs = clock.getAsLong();
    }

    private void release() {
        closing.forEach(DescriptorBudget::release);
        closing.clear();
    }
}
