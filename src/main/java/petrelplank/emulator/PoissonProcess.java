package petrelplank.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** Runs a task repeatedly until an end time, at exponentially distributed intervals. */
final class PoissonProcess {
    private final EventScheduler clock;
    private final ZigguratSampler.Exponential intervalsUs;
    private final long minIntervalUs;
    private final long endUs;
    private final Runnable task;

    /**
     * Creates a process that has not started.
     *
     * @param perSecond average number of runs per second
     * @param minIntervalUs lower bound of the intervals after the first one
     * @param endUs time from which on the task no longer runs
     */
    PoissonProcess(
            EventScheduler clock,
            UniformRandomProvider random,
            double perSecond,
            long minIntervalUs,
            long endUs,
            Runnable task) {
        this.clock = clock;
        this.intervalsUs = ZigguratSampler.Exponential.of(random, 1e6 / perSecond);
        this.minIntervalUs = minIntervalUs;
        this.endUs = endUs;
        this.task = task;
    }

    /** Starts the process; the task first runs after one interval. */
    void start() {
        clock.after((long) intervalsUs.sample(), this::run);
    }

    private void run() {
        if (clock.nowUs() < endUs) {
            task.run();
            clock.after(Math.max(minIntervalUs, (long) intervalsUs.sample()), this::run);
        }
    }
}
