package petrelplank.fastcgi;

import java.util.concurrent.atomic.AtomicInteger;

/** State of a listener that all its connections share. Thread-safe. */
final class ListenerStatus {
    private volatile boolean ready;
    /** Connections with a requested idle close that the I/O thread has neither closed nor kept open yet. */
    private final AtomicInteger pendingCloses = new AtomicInteger();

    /** Whether health requests are answered with success. */
    boolean isReady() {
        return ready;
    }

    /** Sets whether health requests are answered with success. */
    void setReady(boolean ready) {
        this.ready = ready;
    }

    int pendingCloses() {
        return pendingCloses.get();
    }

    /** Counts a connection whose idle close is requested. */
    void addPendingClose() {
        pendingCloses.incrementAndGet();
    }

    /** Removes a connection from the count: it was closed, or is kept open. */
    void removePendingClose() {
        pendingCloses.decrementAndGet();
    }
}
