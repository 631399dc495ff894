package petrelplank.emulator;

import java.util.ArrayDeque;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * The central stock: a few workers, a queue with an end, times that grow where it is crowded. Asked for more than
 * 2.5 times what it can do for 3 s, it stops for a while.
 */
final class OriginServer {
    static final double FALL_MULTIPLE = 2.5;
    static final long FALL_US = 3_000_000;
    private static final long DOWN_US = 5_000_000;
    private static final long TICK_US = 100_000;
    /** A call that would wait longer than this is turned away. */
    private static final double LONGEST_QUEUE_US = 1_500_000;

    /** How a call ended. */
    interface Called {
        void done(boolean well);
    }

    private record Call(Called called) {}

    private final EventScheduler clock;
    private final ZigguratSampler.Exponential times;
    private final int workers;
    private final double usualUs;
    private final double perUs;
    private final GroundTruthRecorder truth;
    private final ArrayDeque<Call> queue = new ArrayDeque<>();
    private int busy;
    private double slower = 1;
    private long downUntilUs;
    private long life;
    private double tickCalls;
    private long overSinceUs = -1;
    private long others;
    private long overloadedSinceUs = -1;

    OriginServer(EventScheduler clock, Scenario s, UniformRandomProvider random, GroundTruthRecorder truth) {
        this.clock = clock;
        this.times = ZigguratSampler.Exponential.of(random);
        this.usualUs = s.centralUs();
        this.workers = (int) Math.max(1, Math.round(s.centralPerSecond() * s.centralUs() / 1e6));
        this.perUs = workers / usualUs;
        this.truth = truth;
        clock.after(TICK_US, this::tick);
    }

    /** Others call, in even steps; from 0 a second on, they no longer do. */
    void outside(double perSecond) {
        long mine = ++others;
        if (perSecond > 0) {
            overloadedSinceUs = clock.now();
            other(mine, (long) (1e6 / perSecond));
        }
    }

    private void other(long mine, long gapUs) {
        if (mine == others) {
            call(well -> {});
            clock.after(gapUs, () -> other(mine, gapUs));
        }
    }

    void slower(double times) {
        slower = times;
    }

    boolean down() {
        return clock.now() < downUntilUs;
    }

    /** Guards nothing: it is what the fleet has to guard against. */
    private void tick() {
        double load = tickCalls / (perUs * TICK_US);
        tickCalls = 0;
        if (load <= FALL_MULTIPLE || down()) {
            overSinceUs = -1;
        } else if (overSinceUs < 0) {
            overSinceUs = clock.now();
        } else if (clock.now() - overSinceUs >= FALL_US) {
            downUntilUs = clock.now() + DOWN_US;
            overSinceUs = -1;
            life++;
            busy = 0;
            if (overloadedSinceUs >= 0) {
                truth.trouble("outside-load", List.of(Simulation.CENTRAL), overloadedSinceUs, clock.now());
                overloadedSinceUs = -1;
            }
            truth.stopped(clock.now(), downUntilUs);
            while (!queue.isEmpty()) {
                fail(queue.poll());
            }
        }
        clock.after(TICK_US, this::tick);
    }

    private void fail(Call call) {
        clock.after(1_000, () -> call.called().done(false));
    }

    void call(Called called) {
        tickCalls++;
        Call call = new Call(called);
        if (down() || queue.size() > LONGEST_QUEUE_US * perUs / slower) {
            fail(call);
        } else if (busy < workers) {
            work(call);
        } else {
            queue.add(call);
        }
    }

    private void work(Call call) {
        busy++;
        long mine = life;
        // Half is fixed, half varies; a crowded one is up to a half slower.
        double crowd = 1 + 0.5 * Math.min(1, queue.size() / (4.0 * workers));
        double us = usualUs * slower * crowd * (0.5 + 0.5 * times.sample());
        clock.after((long) us, () -> {
            if (mine != life) {
                call.called().done(false);
                return;
            }
            busy--;
            call.called().done(true);
            if (!queue.isEmpty() && busy < workers) {
                work(queue.poll());
            }
        });
    }
}
