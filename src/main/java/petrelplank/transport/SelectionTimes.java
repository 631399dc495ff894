package petrelplank.transport;

import java.util.function.LongSupplier;

/** Counts the selections of the selector and keeps their times, which limit how long received bytes were unread. */
final class SelectionTimes {
    private final LongSupplier clock;
    private volatile long selectionCount;
    /** Confined to the I/O thread, as is {@link #previousSelectionUs}. */
    private long lastSelectionUs;

    private long previousSelectionUs;

    /**
     * Starts with a count of zero; both times are the time of creation.
     *
     * @param clock the Unix clock in microseconds
     */
    SelectionTimes(LongSupplier clock) {
        this.clock = clock;
        this.lastSelectionUs = clock.getAsLong();
        this.previousSelectionUs = lastSelectionUs;
    }

    /** Records that a selection has ended. Call from the I/O thread. */
    void recordSelection() {
        selectionCount++;
        previousSelectionUs = lastSelectionUs;
        lastSelectionUs = clock.getAsLong();
    }

    /** Number of selections so far; may be called from any thread. */
    long selectionCount() {
        return selectionCount;
    }

    /** Unix time of the selection before the last, in microseconds. Call from the I/O thread. */
    long previousSelectionUs() {
        return previousSelectionUs;
    }
}
