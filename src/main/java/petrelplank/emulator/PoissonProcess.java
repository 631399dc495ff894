package petrelplank.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** Runs a task again and again, after exponentially distributed gaps, until an end. */
final class PoissonProcess {
    private final EventScheduler clock;
    private final ZigguratSampler.Exponential gaps;
    private final long minimumGapUs;
    private final long endUs;
    private final Runnable task;

    /**
     * A process that has not started.
     *
     * @param perSecond how often the task runs, on average
     * @param minimumGapUs lower bound of the gaps after the first one
     * @param endUs the task no longer runs from this time on
     */
    PoissonProcess(
            EventScheduler clock,
            UniformRandomProvider random,
            double perSecond,
            long minimumGapUs,
            long endUs,
            Runnable task) {
        this.clock = clock;
        this.gaps = ZigguratSampler.Exponential.of(random, 1e6 / perSecond);
        this.minimumGapUs = minimumGapUs;
        this.endUs = endUs;
        this.task = task;
    }

    void start() {
        clock.after((long) gaps.sample(), this::run);
    }

    private void run() {
        if (clock.nowUs() < endUs) {
            task.run();
            clock.after(Math.max(minimumGapUs, (long) gaps.sample()), this::run);
        }
    }
}
