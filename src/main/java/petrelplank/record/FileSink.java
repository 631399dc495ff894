package petrelplank.record;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Logger;

/**
 * Writes events asynchronously in a thread of its own. The event thread only adds them to a bounded queue. If the queue
 * is full, the event is lost: its sequence number stays missing, and the number of lost events is recorded as soon as
 * there is room. If a write to the disk fails, the writer thread counts the lost events and retries.
 */
public final class FileSink implements EventSink {
    private static final Logger LOG = Logger.getLogger(FileSink.class.getName());
    private static final int BATCH_SIZE = 512;
    private static final int TRACE_QUEUE_CAPACITY = 16_384;
    private static final long POLL_INTERVAL_NS = 50_000_000;
    private static final long CLOSE_TIMEOUT_MS = 100;
    /** Only one in this many write failures is logged, since a full disk causes one every second. */
    private static final int FAILURES_PER_LOG_LINE = 1000;

    private final String proxy;
    private final long incarnation;
    private final RecordOutput output;
    private final ArrayBlockingQueue<Entry> queue;
    private final Thread writer;
    private volatile boolean closed;
    /** Sequence number of the next entry. Accessed only by the event thread. */
    private long nextNumber;
    /** Lost events that no record reports yet. Accessed only by the event thread. */
    private long unreportedLosses;
    /** Events that the output lost and that the event thread has not yet added to {@link #unreportedLosses}. */
    private final AtomicLong uncollectedOutputLosses = new AtomicLong();

    /** Number of failed writes. Accessed only by the writer thread. */
    private long failureCount;
    /** Number of all events that the output lost. Accessed only by the writer thread. */
    private long totalOutputLosses;

    /**
     * Creates a sink that writes record files, and starts its thread.
     *
     * @param settings where and how the files are written
     * @param proxy the proxy's name
     * @param incarnation the random number that identifies this incarnation
     */
    public FileSink(RecordSettings settings, String proxy, long incarnation) {
        this(settings.queued(), proxy, incarnation, new RecordFileWriter(settings, proxy, incarnation));
    }

    /**
     * Creates a sink that prints each event as a line of text, see {@link TraceLines}, and starts its thread.
     *
     * @param out receives whole lines; it may block
     * @param proxy the proxy's name
     * @return the sink
     */
    public static FileSink trace(PrintStream out, String proxy) {
        return new FileSink(TRACE_QUEUE_CAPACITY, proxy, 0, new TraceLines(out));
    }

    FileSink(int queueCapacity, String proxy, long incarnation, RecordOutput output) {
        this.proxy = proxy;
        this.incarnation = incarnation;
        this.output = output;
        this.queue = new ArrayBlockingQueue<>(queueCapacity);
        this.writer = new Thread(this::writeUntilClosed, "records");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void record(long unixUs, Event event) {
        if (uncollectedOutputLosses.get() > 0) {
            unreportedLosses += uncollectedOutputLosses.getAndSet(0);
        }
        if (unreportedLosses > 0 && queue.remainingCapacity() > 1) {
            queue.offer(nextEntry(unixUs, new Event.EventsLost(unreportedLosses)));
            unreportedLosses = 0;
        }
        if (!queue.offer(nextEntry(unixUs, event))) {
            unreportedLosses++;
        }
    }

    private Entry nextEntry(long unixUs, Event event) {
        return new Entry(proxy, incarnation, nextNumber++, unixUs, event);
    }

    @Override
    public long heapBytes() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** Returns the number of lost events that no record reports yet. */
    long unreportedLosses() {
        return unreportedLosses + uncollectedOutputLosses.get();
    }

    private void writeUntilClosed() {
        List<Entry> batch = new ArrayList<>(BATCH_SIZE);
        try {
            while (!closed || !queue.isEmpty()) {
                // Polls the queue: waking this thread for each event would cost more than recording the event.
                if (queue.drainTo(batch, BATCH_SIZE) == 0) {
                    flush();
                    LockSupport.parkNanos(POLL_INTERVAL_NS);
                }
                batch.forEach(this::append);
                batch.clear();
            }
            output.close();
        } catch (IOException e) {
            logFailure(e);
        }
    }

    private void append(Entry entry) {
        try {
            output.append(entry);
        } catch (IOException e) {
            logFailure(e);
        }
        countLosses();
    }

    private void flush() {
        try {
            output.flush();
        } catch (IOException e) {
            logFailure(e);
        }
        countLosses();
    }

    private void countLosses() {
        long lost = output.takeLost();
        if (lost > 0) {
            totalOutputLosses += lost;
            uncollectedOutputLosses.addAndGet(lost);
        }
    }

    private void logFailure(IOException failure) {
        if (failureCount++ % FAILURES_PER_LOG_LINE == 0) {
            LOG.warning("writing event records failed: " + failure.getMessage() + ", " + totalOutputLosses
                    + " events lost so far");
        }
    }

    @Override
    public void close() {
        closed = true;
        // Unparks the thread rather than interrupting it: an interrupt would close the file in the middle of a write.
        LockSupport.unpark(writer);
        try {
            writer.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
