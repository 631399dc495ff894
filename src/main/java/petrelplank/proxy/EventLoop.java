package petrelplank.proxy;

import java.util.ArrayDeque;
import java.util.concurrent.locks.LockSupport;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Runs tasks and timers on the event thread, the single thread that owns the router and all request state; other
 * threads only post tasks. Urgent tasks run before all queued ordinary tasks. Discovery events are urgent, so that a
 * drain or a purge also applies to requests that were queued before it.
 */
public final class EventLoop implements Runnable {
    private static final Logger LOG = Logger.getLogger(EventLoop.class.getName());
    private static final int LOG_ONE_IN = 25;
    private static final long NS_PER_US = 1_000;
    private static final long MAX_PARK_US = 1_000_000;

    private final LongSupplier clock;
    private final ReentrantLock lock = new ReentrantLock();
    private final ArrayDeque<Runnable> urgentTasks = new ArrayDeque<>();
    private final ArrayDeque<Runnable> ordinaryTasks = new ArrayDeque<>();
    private final TimerQueue timers = new TimerQueue();
    private long lastNowUs = Long.MIN_VALUE;
    private final SampledCounter failedTasks = new SampledCounter(LOG_ONE_IN);
    private long maxTimerDelayUs;
    private volatile boolean stopped;
    /** The event thread while it is parked or about to park; null otherwise. */
    private volatile Thread parkedThread;

    /**
     * Creates an event loop without tasks.
     *
     * @param clock returns Unix time in microseconds
     */
    public EventLoop(LongSupplier clock) {
        this.clock = clock;
    }

    /**
     * The time for the router, which never runs backwards; event thread only.
     *
     * @return Unix time in microseconds
     */
    public long nowUs() {
        lastNowUs = Math.max(lastNowUs, clock.getAsLong());
        return lastNowUs;
    }

    /**
     * The unmodified clock, which may run backwards; any thread.
     *
     * @return Unix time in microseconds
     */
    public long clockUs() {
        return clock.getAsLong();
    }

    /**
     * Queues a task; any thread.
     *
     * @param task the task
     */
    public void post(Runnable task) {
        enqueue(ordinaryTasks, task);
    }

    /**
     * Queues a task to run before all queued ordinary tasks; any thread.
     *
     * @param task the task
     */
    public void postUrgent(Runnable task) {
        enqueue(urgentTasks, task);
    }

    private void enqueue(ArrayDeque<Runnable> queue, Runnable task) {
        lock.lock();
        try {
            queue.add(task);
        } finally {
            lock.unlock();
        }
        Thread threadToWake = parkedThread;
        if (threadToWake != null) {
            LockSupport.unpark(threadToWake);
        }
    }

    /**
     * Schedules a task; event thread only.
     *
     * @param atUs when the task is due, Unix time in microseconds
     * @param task the task
     * @return the timer
     */
    public Timer schedule(long atUs, Runnable task) {
        return timers.add(atUs, task);
    }

    /** Makes {@link #run} return after the current turn; any thread. */
    public void stop() {
        stopped = true;
        post(() -> {});
    }

    @Override
    public void run() {
        while (!stopped) {
            runOnce();
            parkUntilWork();
        }
    }

    /**
     * Runs as many tasks as are queued at the start of the turn, each time an urgent one if there is any, and then the
     * timers that are due.
     */
    public void runOnce() {
        int queuedTasks = queuedTaskCount();
        for (int i = 0; i < queuedTasks; i++) {
            Runnable task = pollTask();
            if (task != null) {
                runSafely(task);
            }
        }
        fireTimers(nowUs());
    }

    private void fireTimers(long nowUs) {
        for (Timer timer = timers.pollDue(nowUs); timer != null; timer = timers.pollDue(nowUs)) {
            maxTimerDelayUs = Math.max(maxTimerDelayUs, nowUs - timer.dueUs());
            runSafely(timer.task());
        }
    }

    /**
     * When the next timer is due; event thread only.
     *
     * @return Unix time in microseconds; {@link Long#MAX_VALUE} if there is no timer
     */
    public long nextTimerDueUs() {
        return timers.nextDueUs();
    }

    /** Returns the longest delay with which a timer has fired since the last call; event thread only. */
    long takeMaxTimerDelayUs() {
        long delayUs = maxTimerDelayUs;
        maxTimerDelayUs = 0;
        return delayUs;
    }

    /**
     * The number of queued tasks, urgent and ordinary; any thread.
     *
     * @return the number of tasks, not counting timers
     */
    public int queuedTaskCount() {
        lock.lock();
        try {
            return urgentTasks.size() + ordinaryTasks.size();
        } finally {
            lock.unlock();
        }
    }

    private Runnable pollTask() {
        lock.lock();
        try {
            return urgentTasks.isEmpty() ? ordinaryTasks.poll() : urgentTasks.poll();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Logs an exception of a task, which would otherwise end the event thread. The failure affects one request, which
     * still gets its final response at its deadline.
     */
    private void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            if (failedTasks.count()) {
                LOG.log(Level.SEVERE, "event loop task failed, " + failedTasks.total() + " failed tasks so far", e);
            }
        }
    }

    /**
     * Waits for a task or for the next timer. The thread is parked because a timed wait on a condition that times out
     * while it is being signalled spins until the signalling thread continues. For a proxy with less than one CPU core
     * that can take the rest of the time slice. Parking does not spin.
     */
    private void parkUntilWork() {
        parkedThread = Thread.currentThread();
        if (queuedTaskCount() == 0) {
            long waitUs = Math.min(MAX_PARK_US, timers.nextDueUs() - nowUs());
            if (waitUs > 0) {
                LockSupport.parkNanos(this, waitUs * NS_PER_US);
            }
        }
        parkedThread = null;
        if (Thread.interrupted()) {
            stopped = true;
        }
    }
}
