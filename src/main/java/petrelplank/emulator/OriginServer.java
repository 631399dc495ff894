package petrelplank.emulator;

import java.util.ArrayDeque;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * The origin: a few workers, a bounded queue, and service times that grow with the queue. Under an overload of
 * {@link #OVERLOAD_MULTIPLE} times its capacity for {@link #OVERLOAD_US}, it stops for a while.
 */
final class OriginServer {
    static final double OVERLOAD_MULTIPLE = 2.5;
    static final long OVERLOAD_US = 3_000_000;
    private static final long STOPPED_US = 5_000_000;
    private static final long LOAD_INTERVAL_US = 100_000;
    private static final long FAILURE_US = 1_000;
    /** A call that would wait longer than this fails at once. */
    private static final double MAX_QUEUE_US = 1_500_000;
    /** How much slower a call is with a long queue. */
    private static final double QUEUE_SLOWDOWN = 0.5;

    private static final long NEVER = -1;

    /** Takes the end of a call. */
    @FunctionalInterface
    interface Callback {
        void completed(boolean succeeded);
    }

    private final EventScheduler clock;
    private final GroundTruthRecorder truth;
    private final ZigguratSampler.Exponential callTimes;
    private final double usualCallUs;
    private final int workers;
    private final double callsPerUs;
    private final ArrayDeque<Callback> queue = new ArrayDeque<>();
    private int busyWorkers;
    private double slowdown = 1;
    /** Rises with each stop: calls from before it have failed. */
    private long incarnation;

    private long stoppedUntilUs;
    private double callsInInterval;
    private long overloadedSinceUs = NEVER;
    private long outsideLoadSinceUs = NEVER;
    /** Number of the outside load that is valid; a change of it ends the earlier one. */
    private long outsideLoadNumber;

    OriginServer(EventScheduler clock, Capacity capacity, UniformRandomProvider random, GroundTruthRecorder truth) {
        this.clock = clock;
        this.truth = truth;
        this.callTimes = ZigguratSampler.Exponential.of(random);
        this.usualCallUs = capacity.originCallUs();
        this.workers = (int) Math.max(1, Math.round(capacity.originPerSecond() * capacity.originCallUs() / 1e6));
        this.callsPerUs = workers / usualCallUs;
        clock.after(LOAD_INTERVAL_US, this::checkLoad);
    }

    /** From now on other clients call at even intervals, instead of those that did so far. */
    void startOutsideLoad(double callsPerSecond) {
        long number = ++outsideLoadNumber;
        if (callsPerSecond > 0) {
            outsideLoadSinceUs = clock.nowUs();
            callFromOutside(number, (long) (1e6 / callsPerSecond));
        }
    }

    void endOutsideLoad() {
        outsideLoadNumber++;
    }

    private void callFromOutside(long number, long gapUs) {
        if (number == outsideLoadNumber) {
            call(succeeded -> {});
            clock.after(gapUs, () -> callFromOutside(number, gapUs));
        }
    }

    /** From now on calls take a multiple of their usual time. */
    void setSlowdown(double multiple) {
        slowdown = multiple;
    }

    private boolean isStopped() {
        return clock.nowUs() < stoppedUntilUs;
    }

    private void checkLoad() {
        double load = callsInInterval / (callsPerUs * LOAD_INTERVAL_US);
        callsInInterval = 0;
        if (load <= OVERLOAD_MULTIPLE || isStopped()) {
            overloadedSinceUs = NEVER;
        } else if (overloadedSinceUs == NEVER) {
            overloadedSinceUs = clock.nowUs();
        } else if (clock.nowUs() - overloadedSinceUs >= OVERLOAD_US) {
            stop();
        }
        clock.after(LOAD_INTERVAL_US, this::checkLoad);
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

    void call(Callback callback) {
        callsInInterval++;
        if (isStopped() || queue.size() > MAX_QUEUE_US * callsPerUs / slowdown) {
            fail(callback);
        } else if (busyWorkers < workers) {
            execute(callback);
        } else {
            queue.add(callback);
        }
    }

    private void fail(Callback callback) {
        clock.after(FAILURE_US, () -> callback.completed(false));
    }

    private void execute(Callback callback) {
        busyWorkers++;
        long startedIn = incarnation;
        double queueFactor = 1 + QUEUE_SLOWDOWN * Math.min(1, queue.size() / (4.0 * workers));
        // Half of the time is fixed, half varies.
        double callUs = usualCallUs * slowdown * queueFactor * (0.5 + 0.5 * callTimes.sample());
        clock.after((long) callUs, () -> {
            if (startedIn != incarnation) {
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
