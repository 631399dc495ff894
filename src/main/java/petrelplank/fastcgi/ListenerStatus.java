package petrelplank.fastcgi;

import java.util.concurrent.atomic.AtomicInteger;

/** The state of one listener that its connections share. Any thread. */
final class ListenerStatus {
    private volatile boolean ready;
    /** Connections whose idle close was requested, and that were neither closed nor kept since. */
    private final AtomicInteger pendingCloses = new AtomicInteger();

    /** What health requests are answered. */
    boolean isReady() {
        return ready;
    }

    void ready(boolean now) {
        ready = now;
    }

    int pendingCloses() {
        return pendingCloses.get();
    }

    void closeRequested() {
        pendingCloses.incrementAndGet();
    }

    /** A connection whose close was requested is closed, or is kept. */
    void closeDecided() {
        pendingCloses.decrementAndGet();
    }
}
