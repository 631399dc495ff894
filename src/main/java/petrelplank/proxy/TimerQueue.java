package petrelplank.proxy;

import java.util.PriorityQueue;

/** The timers of an event loop, in the order in which they are due. Event thread only. */
final class TimerQueue {
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private long nextSequence;

    /** Adds a timer that is due at a time. */
    Timer add(long dueUs, Runnable task) {
        Timer timer = new Timer(dueUs, nextSequence++, task);
        timers.add(timer);
        return timer;
    }

    /** Removes and returns the next timer that is due by now; null if there is none. */
    Timer pollDue(long nowUs) {
        return nextDueUs() <= nowUs ? timers.poll() : null;
    }

    /** Returns when the next timer is due; {@link Long#MAX_VALUE} if there is none. */
    long nextDueUs() {
        while (!timers.isEmpty() && timers.peek().isCancelled()) {
            timers.poll();
        }
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueUs();
    }
}
