package petrelplank.proxy;

/** A task that is scheduled for a time; see {@link EventLoop#schedule}. Event thread only. */
public final class Timer implements Comparable<Timer> {
    private final long dueUs;
    /** Timers that are due at the same time fire in the order in which they were scheduled. */
    private final long sequence;
    /** Null after cancellation. */
    private Runnable task;

    Timer(long dueUs, long sequence, Runnable task) {
        this.dueUs = dueUs;
        this.sequence = sequence;
        this.task = task;
    }

    /** Cancels the timer; has no effect if it has fired. */
    public void cancel() {
        task = null;
    }

    boolean isCancelled() {
        return task == null;
    }

    long dueUs() {
        return dueUs;
    }

    Runnable task() {
        return task;
    }

    @Override
    public int compareTo(Timer other) {
        return dueUs != other.dueUs ? Long.compare(dueUs, other.dueUs) : Long.compare(sequence, other.sequence);
    }
}
