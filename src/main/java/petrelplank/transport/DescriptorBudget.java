package petrelplank.transport;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * A limit on the file descriptors that one kind of socket may use, with a permit for each descriptor. A permit is
 * acquired before the socket is created and released only after its descriptor has certainly been closed, so sockets
 * that are being created or closed hold permits too. Thread-safe.
 */
public final class DescriptorBudget {
    private final int capacity;
    private final Semaphore permits;

    /**
     * Creates a budget with all permits available.
     *
     * @param capacity number of permits, at least 1
     */
    public DescriptorBudget(int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity of a descriptor budget must be at least 1, got " + capacity);
        }
        this.capacity = capacity;
        this.permits = new Semaphore(capacity);
    }

    /**
     * The size of the budget.
     *
     * @return the total number of permits
     */
    public int capacity() {
        return capacity;
    }

    /**
     * Number of permits that are available.
     *
     * @return permits that may still be acquired
     */
    public int available() {
        return permits.availablePermits();
    }

    /**
     * Number of permits in use.
     *
     * @return permits held by sockets, including those being created or closed
     */
    public int inUse() {
        return capacity - available();
    }

    /**
     * Acquires a permit if one is available, without waiting.
     *
     * @return whether a permit was acquired
     */
    public boolean tryAcquire() {
        return permits.tryAcquire();
    }

    /** Acquires a permit, waiting for one for a limited time; returns whether a permit was acquired. */
    boolean tryAcquire(long maxWaitMs) throws InterruptedException {
        return permits.tryAcquire(maxWaitMs, TimeUnit.MILLISECONDS);
    }

    /** Releases a permit whose descriptor has been closed, or was never opened. */
    public void release() {
        permits.release();
    }
}
