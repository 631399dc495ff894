package petrelplank.transport;

import java.util.function.LongSupplier;

/** When the selector looked at its sockets, and how often: bounds how long received bytes may have lain unread. */
final class SelectionTimes {
    private final LongSupplier clock;
    private volatile long count;
    /** Of the I/O thread alone, as is the next. */
    private long lastUs;

    private long previousUs;

    /**
     * Starts with no selection.
     *
     * @param clock the Unix clock in microseconds
     */
    SelectionTimes(LongSupplier clock) {
        this.clock = clock;
        this.lastUs = clock.getAsLong();
        this.previousUs = lastUs;
    }

    /** The selector has returned; from the I/O thread. */
    void selected() {
        count++;
        previousUs = lastUs;
        lastUs = clock.getAsLong();
    }

    /** Selections so far; from any thread. */
    long count() {
        return count;
    }

    /** Unix time of the selection before the last; from the I/O thread. */
    long previousUs() {
        return previousUs;
    }
}
