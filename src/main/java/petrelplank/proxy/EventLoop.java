package petrelplank.proxy;

import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The one thread that owns the router and all request state. Other threads only post; what the coordinator told
 * is run before whatever else waits, so that a drain or a purge binds requests queued before it was read.
 */
public final class EventLoop implements Runnable {
    private static final Logger LOG = Logger.getLogger(EventLoop.class.getName());

    /** Something to be run at a time. */
    public static final class Timer implements Comparable<Timer> {
        private final long atUs;
        private final long order;
        private Runnable task;

        private Timer(long atUs, long order, Runnable task) {
            this.atUs = atUs;
            this.order = order;
            this.task = task;
        }

        /** Takes the timer back. */
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Timer other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
        }
    }

    private static final int LOGGED_ONE_IN = 25;
    private static final long MOST_WAIT_US = 1_000_000;

    private final LongSupplier clock;
    private final ReentrantLock lock = new ReentrantLock();
    private final ArrayDeque<Runnable> urgent = new ArrayDeque<>();
    private final ArrayDeque<Runnable> ordinary = new ArrayDeque<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private long timerOrder;
    private long latestUs = Long.MIN_VALUE;
    private long failures;
    private long lateUs;
    private volatile boolean stopped;
    /** The event thread while it waits, or is about to; null else. */
    private volatile Thread sleeper;

    /**
     * A loop.
     *
     * @param clock the Unix clock in microseconds
     */
    public EventLoop(LongSupplier clock) {
        this.clock = clock;
    }

    /**
     * The clock as the router sees it; it never runs backwards.
     *
     * @return Unix time in microseconds
     */
    public long now() {
        latestUs = Math.max(latestUs, clock.getAsLong());
        return latestUs;
    }

    /**
     * The clock as it stands; from any thread.
     *
     * @return Unix time in microseconds
     */
    public long clock() {
        return clock.getAsLong();
    }

    /**
     * Queues a task; from any thread.
     *
     * @param task the task
     */
    public void post(Runnable task) {
        enqueue(ordinary, task);
    }

    /**
     * Queues a task before all ordinary ones; from any thread.
     *
     * @param task the task
     */
    public void postUrgent(Runnable task) {
        enqueue(urgent, task);
    }

    private void enqueue(ArrayDeque<Runnable> queue, Runnable task) {
        lock.lock();
        try {
            queue.add(task);
        } finally {
            lock.unlock();
        }
        Thread waiting = sleeper;
        if (waiting != null) {
            LockSupport.unpark(waiting);
        }
    }

    /**
     * Sets a timer; from the event thread.
     *
     * @param atUs when
     * @param task what
     * @return the timer
     */
    public Timer at(long atUs, Runnable task) {
        Timer timer = new Timer(atUs, timerOrder++, task);
        timers.add(timer);
        return timer;
    }

    /** Ends {@link #run} after the task in hand. */
    public void stop() {
        stopped = true;
        post(() -> {});
    }

    @Override
    public void run() {
        while (!stopped) {
            turn();
            await();
        }
    }

    /** Runs what is queued now, then the timers that are due; what the coordinator told comes first throughout. */
    public void turn() {
        int queued = size();
        for (int i = 0; i < queued; i++) {
            Runnable task = next();
            if (task != null) {
                guarded(task);
            }
        }
        long now = now();
        while (!timers.isEmpty() && (timers.peek().task == null || timers.peek().atUs <= now)) {
            Timer timer = timers.poll();
            if (timer.task != null) {
                lateUs = Math.max(lateUs, now - timer.atUs);
                guarded(timer.task);
            }
        }
    }

    /**
     * When the next timer is due; from the event thread.
     *
     * @return Unix time in microseconds; the largest number where none is set
     */
    public long nextDueUs() {
        while (!timers.isEmpty() && timers.peek().task == null) {
            timers.poll();
        }
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().atUs;
    }

    /** The longest that a timer was late since this was last asked; from the event thread. */
    long latestLateUs() {
        long late = lateUs;
        lateUs = 0;
        return late;
    }

    /**
     * What waits for its turn.
     *
     * @return tasks queued
     */
    public int size() {
        lock.lock();
        try {
            return urgent.size() + ordinary.size();
        } finally {
            lock.unlock();
        }
    }

    private Runnable next() {
        lock.lock();
        try {
            return urgent.isEmpty() ? ordinary.poll() : urgent.poll();
        } finally {
            lock.unlock();
        }
    }

    /** Guards the process: a task that fails is one request's harm, which the deadline's guard still answers. */
    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            if (failures++ % LOGGED_ONE_IN == 0) {
                LOG.log(Level.SEVERE, "task failed, " + failures + " so far", e);
            }
        }
    }

    /**
     * Guards a front with a part of a core: a condition's timed wait that runs out while it is signalled spins until
     * the signalling thread goes on, which on one core may take the rest of its turn; parking does not.
     */
    private void await() {
        sleeper = Thread.currentThread();
        if (size() == 0) {
            long waitUs = timers.isEmpty() ? MOST_WAIT_US : Math.min(MOST_WAIT_US, timers.peek().atUs - now());
            if (waitUs > 0) {
                LockSupport.parkNanos(this, waitUs * 1000);
            }
        }
        sleeper = null;
        if (Thread.interrupted()) {
            stopped = true;
        }
    }
}
