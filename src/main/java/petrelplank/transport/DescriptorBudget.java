package petrelplank.transport;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * A part of the process's file descriptors. A place is acquired before a socket exists and released once its descriptor
 * is closed for sure, so that sockets that wait to be counted, or to be closed, hold their places too. Any thread.
 */
public final class DescriptorBudget {
    private final int capacity;
    private final Semaphore places;

    /**
     * A budget with all places free.
     *
     * @param capacity places, at least 1
     */
    public DescriptorBudget(int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("a budget of " + capacity + " descriptors");
        }
        this.capacity = capacity;
        this.places = new Semaphore(capacity);
    }

    /**
     * The size of the budget.
     *
     * @return places in all
     */
    public int capacity() {
        return capacity;
    }

    /**
     * What may still be acquired.
     *
     * @return free places
     */
    public int available() {
        return places.availablePermits();
    }

    /**
     * What is acquired.
     *
     * @return places that sockets hold, also those being made or closed
     */
    public int inUse() {
        return capacity - available();
    }

    /**
     * Acquires a place without waiting.
     *
     * @return whether there was one
     */
    public boolean tryAcquire() {
        return places.tryAcquire();
    }

    boolean tryAcquire(long maxWaitMs) throws InterruptedException {
        return places.tryAcquire(maxWaitMs, TimeUnit.MILLISECONDS);
    }

    /** Releases a place: its descriptor is closed, or was never opened. */
    public void release() {
        places.release();
    }
}
