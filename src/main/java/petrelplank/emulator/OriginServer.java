package petrelplank.emulator;

import java.util.ArrayDeque;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * The origin: a fixed number of workers and a bounded queue, with service times that grow with the queue. If its load
 * exceeds {@link #OVERLOAD_MULTIPLE} times its capacity for {@link #OVERLOAD_US}, it stops for {@link #STOPPED_US}.
 */
final class OriginServer {
    static final double OVERLOAD_MULTIPLE = 2.5;
    static final long OVERLOAD_US = 3_000_000;
    private static final long STOPPED_US = 5_000_000;
    private static final long LOAD_CHECK_INTERVAL_US = 100_000;
    private static final long FAILURE_DELAY_US = 1_000;
    /** A call that would wait in the queue for longer than this fails immediately. */
    private static final double MAX_QUEUE_US = 1_500_000;
    /** Additional service time of a call while the queue is long, as a share of the time without a queue. */
    private static final double QUEUE_SLOWDOWN = 0.5;

    /** Value of a start time while the condition does not hold. */
    private static final long NEVER = -1;

    /** Receives the outcome of a call. */
    @FunctionalInterface
    interface Callback {
        void completed(boolean succeeded);
    }

    private final EventScheduler clock;
    private final GroundTruthRecorder truth;
    private final ZigguratSampler.Exponential callTimeFactors;
    private final double averageCallUs;
    private final int workers;
    private final double capacityCallsPerUs;
    private final ArrayDeque<Callback> queue = new ArrayDeque<>();
    private int busyWorkers;
    private double slowdown = 1;
    /** Incremented on each stop, so that calls started before it fail when they complete. */
    private long incarnation;

    private long stoppedUntilUs;
    private double callsInInterval;
    private long overloadedSinceUs = NEVER;
    private long outsideLoadSinceUs = NEVER;
    /** Number of the current outside load. Incrementing it ends the previous one. */
    private long outsideLoadNumber;

    OriginServer(EventScheduler clock, Capacity capacity, UniformRandomProvider random, GroundTruthRecorder truth) {
        this.clock = clock;
        this.truth = truth;
        this.callTimeFactors = ZigguratSampler.Exponential.of(random);
        this.averageCallUs = capacity.originCallUs();
        this.workers = (int) Math.max(1, Math.round(capacity.originPerSecond() * capacity.originCallUs() / 1e6));
        this.capacityCallsPerUs = workers / averageCallUs;
        clock.after(LOAD_CHECK_INTERVAL_US, this::checkLoad);
    }

    /** Starts calls from clients outside the fleet at even intervals, which replace any earlier outside load. */
    void startOutsideLoad(double callsPerSecond) {
        long number = ++outsideLoadNumber;
        if (callsPerSecond > 0) {
            outsideLoadSinceUs = clock.nowUs();
            sendOutsideCall(number, (long) (1e6 / callsPerSecond));
        }
    }

    void endOutsideLoad() {
        outsideLoadNumber++;
    }

    private void sendOutsideCall(long number, long intervalUs) {
        if (number == outsideLoadNumber) {
            call(succeeded -> {});
            clock.after(intervalUs, () -> sendOutsideCall(number, intervalUs));
        }
    }

    /** Sets the factor by which calls take longer than usual; 1 for the usual time. */
    void setSlowdown(double multiple) {
        slowdown = multiple;
    }

    private boolean isStopped() {
        return clock.nowUs() < stoppedUntilUs;
    }

    private void checkLoad() {
        double load = callsInInterval / (capacityCallsPerUs * LOAD_CHECK_INTERVAL_US);
        callsInInterval = 0;
        if (load <= OVERLOAD_MULTIPLE || isStopped()) {
            overloadedSinceUs = NEVER;
        } else if (overloadedSinceUs == NEVER) {
            overloadedSinceUs = clock.nowUs();
        } else if (clock.nowUs() - overloadedSinceUs >= OVERLOAD_US) {
            stop();
        }
        clock.after(LOAD_CHECK_INTERVAL_US, this::checkLoad);
    }

    private void stop() {
        stoppedUntilUs = clock.nowUs() + STOPPED_US;
        overloadedSinceUs = NEVER;
        incarnation++;
        busyWorkers = 0;
        if (outsideLoadSinceUs != NEVER) {
            truth.outsideLoadStoppedOrigin(outsideLoadSinceUs, clock.nowUs());
            outsideLoadSinceUs = NEVER;
        }
        truth.originStopped(clock.nowUs(), stoppedUntilUs);
        while (!queue.isEmpty()) {
            fail(queue.poll());
        }
    }

    /** Executes or queues a call. The call fails if the origin is stopped or its queue is full. */
    void call(Callback callback) {
        callsInInterval++;
        if (isStopped() || queue.size() > MAX_QUEUE_US * capacityCallsPerUs / slowdown) {
            fail(callback);
        } else if (busyWorkers < workers) {
            execute(callback);
        } else {
            queue.add(callback);
        }
    }

    private void fail(Callback callback) {
        clock.after(FAILURE_DELAY_US, () -> callback.completed(false));
    }

    private void execute(Callback callback) {
        busyWorkers++;
        long startedIncarnation = incarnation;
        double queueFactor = 1 + QUEUE_SLOWDOWN * Math.min(1, queue.size() / (4.0 * workers));
        // Half of the average service time is constant, the other half is exponentially distributed.
        double callUs = averageCallUs * slowdown * queueFactor * (0.5 + 0.5 * callTimeFactors.sample());
        clock.after((long) callUs, () -> {
            if (startedIncarnation != incarnation) {
                callback.completed(false);
                return;
            }
            busyWorkers--;
            callback.completed(true);
            if (!queue.isEmpty() && busyWorkers < workers) {
                execute(queue.poll());
            }
        });
    }
}
