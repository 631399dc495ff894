package petrelplank.emulator;

import java.util.PriorityQueue;

/** Simulated time: tasks run in the order of their time, and those of one time in the order in which they were added. */
final class EventScheduler {
    /** The Unix time at which every emulation starts, so that the same seed gives the same bytes. */
    static final long START_US = 1_764_576_000_000_000L;

    private record ScheduledTask(long dueUs, long order, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return dueUs != other.dueUs ? Long.compare(dueUs, other.dueUs) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>();
    private long tasksAdded;
    private long nowUs = START_US;
    private long tasksRun;

    long nowUs() {
        return nowUs;
    }

    /** How many tasks have run. */
    long tasksRun() {
        return tasksRun;
    }

    void after(long delayUs, Runnable task) {
        at(nowUs + Math.max(0, delayUs), task);
    }

    void at(long dueUs, Runnable task) {
        tasks.add(new ScheduledTask(Math.max(nowUs, dueUs), tasksAdded++, task));
    }

    /** Runs all tasks that are due until a time, also those that are added meanwhile. */
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
