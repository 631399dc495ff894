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
 * Writes a front's events to files. The event thread only puts them in a bounded queue; where it is full, the event
 * is lost, its number stays missing, and the count is written once there is room. A thread of its own encodes and
 * writes; where the disk takes nothing, it counts what it loses and tries again.
 */
public final class FileSink implements EventSink {
    private static final Logger LOG = Logger.getLogger(FileSink.class.getName());
    private static final int BATCH = 512;
    private static final int TRACE_QUEUED = 16_384;
    private static final long LOOK_NS = 50_000_000;
    private static final long CLOSE_MS = 100;
    private static final int LOGGED_ONE_IN = 1000;

    private final String front;
    private final long life;
    private final RecordOutput log;
    private final ArrayBlockingQueue<Entry> queue;
    private final Thread writer;
    private volatile boolean closed;
    private long next;
    /** Lost, and not yet written down; of the event thread. */
    private long lost;
    /** Lost on the disk, which the event thread has not taken over yet. */
    private final AtomicLong unwritten = new AtomicLong();

    private long failures;
    private long allUnwritten;

    /**
     * Starts the writer.
     *
     * @param settings where and how
     * @param front the front's name
     * @param life this life's random number
     */
    public FileSink(RecordSettings settings, String front, long life) {
        this(settings.queued(), front, life, new RecordFileWriter(settings, front, life));
    }

    /**
     * Starts a writer of lines of text, see {@link TraceLines}: nothing of it is left to the event thread but to queue.
     *
     * @param out takes whole lines; it may block
     * @param front the front's name
     * @return the sink
     */
    public static FileSink trace(PrintStream out, String front) {
        return new FileSink(TRACE_QUEUED, front, 0, new TraceLines(out));
    }

    FileSink(int queued, String front, long life, RecordOutput log) {
        this.front = front;
        this.life = life;
        this.log = log;
        this.queue = new ArrayBlockingQueue<>(queued);
        this.writer = new Thread(this::write, "records");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void record(long unixUs, Event event) {
        if (unwritten.get() > 0) {
            lost += unwritten.getAndSet(0);
        }
        if (lost > 0 && queue.remainingCapacity() > 1) {
            queue.offer(new Entry(front, life, next++, unixUs, new Event.EventsLost(lost)));
            lost = 0;
        }
        if (!queue.offer(new Entry(front, life, next++, unixUs, event))) {
            lost++;
        }
    }

    @Override
    public long heapBytes() {
        Runtime vm = Runtime.getRuntime();
        return vm.totalMemory() - vm.freeMemory();
    }

    /** Events lost that no record tells of yet. */
    long unsaid() {
        return lost + unwritten.get();
    }

    private void write() {
        List<Entry> batch = new ArrayList<>(BATCH);
        try {
            while (!closed || !queue.isEmpty()) {
                // It looks now and then, and is not woken: to wake a thread for each event costs more than the event.
                if (queue.drainTo(batch, BATCH) == 0) {
                    flush();
                    LockSupport.parkNanos(LOOK_NS);
                }
                batch.forEach(this::append);
                batch.clear();
            }
            log.close();
        } catch (IOException e) {
            failed(e);
        }
    }

    private void append(Entry e) {
        try {
            log.append(e);
        } catch (IOException failed) {
            failed(failed);
        }
        count();
    }

    private void flush() {
        try {
            log.flush();
        } catch (IOException e) {
            failed(e);
        }
        count();
    }

    private void count() {
        long now = log.takeLost();
        if (now > 0) {
            allUnwritten += now;
            unwritten.addAndGet(now);
        }
    }

    private void failed(IOException e) {
        if (failures++ % LOGGED_ONE_IN == 0) {
            LOG.warning("records can't be written: " + e.getMessage() + ", " + allUnwritten + " lost so far");
        }
    }

    @Override
    public void close() {
        closed = true;
        // Not interrupted: that would close the file under a write.
        LockSupport.unpark(writer);
        try {
            writer.join(CLOSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
