package petrelplank.cli;

import java.time.Instant;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** The clock of a proxy under test: the system's, which a test can advance, let jump and use to hold the I/O thread. */
final class LoopbackClock implements LongSupplier {
    private static final long STEP_US = 500_000;
    private static final String IO_THREAD = "Processor";

    private final AtomicLong offsetUs = new AtomicLong();
    private final AtomicInteger stepsLeft = new AtomicInteger();
    private final Semaphore ioThreadMayRead = new Semaphore(1);

    /** Unix time in microseconds. */
    @Override
    public long getAsLong() {
        Instant now = Instant.now();
        if (Thread.currentThread().getName().contains(IO_THREAD)) {
            // The time read is old when the thread goes on, as in a thread that lost the processor.
            ioThreadMayRead.acquireUninterruptibly();
            ioThreadMayRead.release();
        }
        long stepUs = stepsLeft.getAndUpdate(left -> Math.max(0, left - 1)) > 0 ? STEP_US : 0;
        return TimeUnit.SECONDS.toMicros(now.getEpochSecond())
                + TimeUnit.NANOSECONDS.toMicros(now.getNano())
                + offsetUs.addAndGet(stepUs);
    }

    void advance(long durationUs) {
        offsetUs.addAndGet(durationUs);
    }

    /** Lets the next reads advance the clock by half a second each, as in a process that waits for the processor. */
    void stepOnReads(int reads) {
        stepsLeft.set(reads);
    }

    /** Holds the I/O thread from its next read on, until {@link #releaseIoThread}. */
    void holdIoThread() throws InterruptedException {
        ioThreadMayRead.acquire();
    }

    /** Whether the I/O thread waits in a read. */
    boolean isIoThreadHeld() {
        return ioThreadMayRead.hasQueuedThreads();
    }

    void releaseIoThread() {
        ioThreadMayRead.release();
    }
}
