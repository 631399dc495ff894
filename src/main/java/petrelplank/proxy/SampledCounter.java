package petrelplank.proxy;

import java.util.concurrent.atomic.AtomicLong;

/** Counts faults of one kind, of which a sample is logged: the first, and then one in a fixed number. Thread-safe. */
public final class SampledCounter {
    private final int loggedOneIn;
    private final AtomicLong total = new AtomicLong();

    /**
     * Creates a counter at 0.
     *
     * @param loggedOneIn one in this many faults is logged, above 0
     */
    public SampledCounter(int loggedOneIn) {
        this.loggedOneIn = loggedOneIn;
    }

    /**
     * Counts a fault.
     *
     * @return whether it belongs to the sample that is logged
     */
    public boolean count() {
        return total.getAndIncrement() % loggedOneIn == 0;
    }

    /**
     * The number of faults so far.
     *
     * @return the number
     */
    public long total() {
        return total.get();
    }
}
