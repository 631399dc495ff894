package petrelplank.emulator;

import java.util.PriorityQueue;

/** Simulated clock and task queue. Tasks run in order of their due time, and in order of addition for the same time. */
final class EventScheduler {
    /** Unix time at which every emulation starts. It is fixed so that the same seed produces the same records. */
    static final long START_US = 1_764_576_000_000_000L;

    private record ScheduledTask(long dueUs, long sequenceNumber, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return dueUs != other.dueUs
                    ? Long.compare(dueUs, other.dueUs)
                    : Long.compare(sequenceNumber, other.sequenceNumber);
        }
    }

    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>();
    private long addedTasks;
    private long nowUs = START_US;
    private long tasksRun;

    /** Returns the simulated Unix time. */
    long nowUs() {
        return nowUs;
    }

    /** Returns the number of tasks that have run. */
    long tasksRun() {
        return tasksRun;
    }

    /** Runs a task after a delay; a negative delay counts as none. */
    void after(long delayUs, Runnable task) {
        at(nowUs + Math.max(0, delayUs), task);
    }

    /** Runs a task at a time, or at the current time if that time has passed. */
    void at(long dueUs, Runnable task) {
        tasks.add(new ScheduledTask(Math.max(nowUs, dueUs), addedTasks++, task));
    }

    /** Runs all tasks that are due up to and including a time, also those added while it runs. */
    void runUntil(long untilUs) {
        while (!tasks.isEmpty() && tasks.peek().dueUs <= untilUs) {
            ScheduledTask next = tasks.poll();
            nowUs = next.dueUs;
            tasksRun++;
            next.task.run();
        }
        nowUs = Math.max(nowUs, untilUs);
    }
}
