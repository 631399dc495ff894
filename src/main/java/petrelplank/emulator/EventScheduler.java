package petrelplank.emulator;

import java.util.PriorityQueue;

/** Simulated time: what is due runs in order of time, then in the order it was asked for. */
final class EventScheduler {
    /** The Unix time at which every emulation starts, so that the same seed gives the same bytes. */
    static final long START_US = 1_764_576_000_000_000L;

    private record Due(long atUs, long order, Runnable task) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private long order;
    private long nowUs = START_US;
    private long ran;

    long now() {
        return nowUs;
    }

    /** How many tasks were run. */
    long ran() {
        return ran;
    }

    void after(long us, Runnable task) {
        at(nowUs + Math.max(0, us), task);
    }

    void at(long atUs, Runnable task) {
        due.add(new Due(Math.max(nowUs, atUs), order++, task));
    }

    /** Runs until nothing is due before a time. */
    void run(long untilUs) {
        while (!due.isEmpty() && due.peek().atUs <= untilUs) {
            Due next = due.poll();
            nowUs = next.atUs;
            ran++;
            next.task.run();
        }
        nowUs = Math.max(nowUs, untilUs);
    }
}
