package petrelplank.transport;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * A share of the process's descriptors. A place is taken before a socket exists and given back once its descriptor
 * is closed for sure, so that sockets which wait to be counted, or to be closed, hold their places too. Any thread.
 */
public final class DescriptorBudget {
    private final int most;
    private final Semaphore free;

    /**
     * A share with all places free.
     *
     * @param most places, at least 1
     */
    public DescriptorBudget(int most) {
        if (most < 1) {
            throw new IllegalArgumentException("a share of " + most + " descriptors");
        }
        this.most = most;
        this.free = new Semaphore(most);
    }

    /**
     * The size of the share.
     *
     * @return places in all
     */
    public int most() {
        return most;
    }

    /**
     * What may still be taken.
     *
     * @return free places
     */
    public int free() {
        return free.availablePermits();
    }

    /**
     * What is taken.
     *
     * @return places that sockets hold, also those being made or closed
     */
    public int held() {
        return most - free();
    }

    /**
     * Takes a place without waiting.
     *
     * @return whether there was one
     */
    public boolean take() {
        return free.tryAcquire();
    }

    boolean take(long waitMs) throws InterruptedException {
        return free.tryAcquire(waitMs, TimeUnit.MILLISECONDS);
    }

    /** Gives a place back: its descriptor is closed, or was never opened. */
    public void release() {
        free.release();
    }
}
