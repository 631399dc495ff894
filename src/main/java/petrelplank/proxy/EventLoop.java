package petrelplank.proxy;

import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The one thread that owns the router and all request state; other threads only post. Urgent tasks, the events of the
 * discovery service, run before all others that wait, so that a drain or a purge binds requests queued before it.
 */
public final class EventLoop implements Runnable {
    private static final Logger LOG = Logger.getLogger(EventLoop.class.getName());
    private static final int LOGGED_ONE_IN = 25;
    private static final long NS_PER_US = 1_000;
    private static final long MAX_PARK_US = 1_000_000;

    /** A task to be run at a time. */
    public static final class Timer implements Comparable<Timer> {
        private final long atUs;
        /** Timers of the same time fire in the order in which they were set. */
        private final long order;
        /** Null once it is cancelled. */
        private Runnable task;

        private Timer(long atUs, long order, Runnable task) {
            this.atUs = atUs;
            this.order = order;
            this.task = task;
        }

        /** It no longer fires; nothing happens where it has fired. */
        public void cancel() {
            task = null;
        }

        private boolean isCancelled() {
            return task == null;
        }

        @Override
        public int compareTo(Timer other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
        }
    }

    private final LongSupplier clock;
    private final ReentrantLock lock = new ReentrantLock();
    private final ArrayDeque<Runnable> urgent = new ArrayDeque<>();
    private final ArrayDeque<Runnable> ordinary = new ArrayDeque<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private long timerOrder;
    private long lastNowUs = Long.MIN_VALUE;
    private long failures;
    private long maxTimerDelayUs;
    private volatile boolean stopped;
    /** The event thread while it is parked, or is about to be; null otherwise. */
    private volatile Thread parked;

    /**
     * A loop without tasks.
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
        lastNowUs = Math.max(lastNowUs, clock.getAsLong());
        return lastNowUs;
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
        Thread waiting = parked;
        if (waiting != null) {
            LockSupport.unpark(waiting);
        }
    }

    /**
     * Sets a timer; from the event thread.
     *
     * @param atUs when it is due, Unix time in microseconds
     * @param task the task
     * @return the timer
     */
    public Timer at(long atUs, Runnable task) {
        Timer timer = new Timer(atUs, timerOrder++, task);
        timers.add(timer);
        return timer;
    }

    /** Ends {@link #run} after the current turn; from any thread. */
    public void stop() {
        stopped = true;
        post(() -> {});
    }

    @Override
    public void run() {
        while (!stopped) {
            turn();
            parkUntilNeeded();
        }
    }

    /** Runs the tasks that are queued now, urgent ones first throughout, and then the timers that are due. */
    public void turn() {
        int queued = size();
        for (int i = 0; i < queued; i++) {
            Runnable task = next();
            if (task != null) {
                runSafely(task);
            }
        }
        fireTimers(now());
    }

    private void fireTimers(long now) {
        while (!timers.isEmpty() && (timers.peek().isCancelled() || timers.peek().atUs <= now)) {
            Timer timer = timers.poll();
            if (!timer.isCancelled()) {
                maxTimerDelayUs = Math.max(maxTimerDelayUs, now - timer.atUs);
                runSafely(timer.task);
            }
        }
    }

    /**
     * When the next timer is due; from the event thread.
     *
     * @return Unix time in microseconds; the largest number where none is set
     */
    public long nextDueUs() {
        while (!timers.isEmpty() && timers.peek().isCancelled()) {
            timers.poll();
        }
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().atUs;
    }

    /** The longest delay of a timer since the last call; from the event thread. */
    long takeMaxTimerDelayUs() {
        long delayUs = maxTimerDelayUs;
        maxTimerDelayUs = 0;
        return delayUs;
    }

    /**
     * How many tasks wait for their turn; from any thread.
     *
     * @return tasks queued, without timers
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

    /** Guards the process: a task that fails harms one request, which is still answered at its deadline. */
    private void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            if (failures++ % LOGGED_ONE_IN == 0) {
                LOG.log(Level.SEVERE, "task failed, " + failures + " so far", e);
            }
        }
    }

    /**
     * Guards a proxy that has less than a core: a condition's timed wait that runs out while it is signalled spins until
     * the signalling thread goes on, which on one core may take the rest of its time slice; parking does not.
     */
    private void parkUntilNeeded() {
        parked = Thread.currentThread();
        if (size() == 0) {
            long waitUs = timers.isEmpty() ? MAX_PARK_US : Math.min(MAX_PARK_US, timers.peek().atUs - now());
            if (waitUs > 0) {
                LockSupport.parkNanos(this, waitUs * NS_PER_US);
            }
        }
        parked = null;
        if (Thread.interrupted()) {
            stopped = true;
        }
    }
}
