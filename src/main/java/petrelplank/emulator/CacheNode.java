package petrelplank.emulator;

import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;

/** A cache or a parent cache: its copies, its outgoing link, its fills, and the faults that it has. */
final class CacheNode {
    /** The share of its capacity with which a cache starts, and the time after which it has all of it. */
    static final double COLD_CAPACITY_SHARE = 0.15;

    static final long WARM_UP_US = 15_000_000;
    /** Requests in flight, over the link's weight, above which new ones are rejected. */
    private static final double MAX_IN_FLIGHT_PER_WEIGHT = 8;

    private static final int MIN_IN_FLIGHT_LIMIT = 4;
    private static final long WARM_UP_STEP_US = 250_000;
    private static final long IMMEDIATE_REPLY_US = 300;

    private final CacheSpec spec;
    private final EventScheduler clock;
    private final UniformRandomProvider random;
    private final CacheStorage storage;
    private final Link link;
    private final FillTable fills;
    private int inFlight;
    /** Rises where all requests in flight are forgotten. */
    private int generation;

    private boolean silent;
    private double failureShare;
    private long startedUs;

    CacheNode(CacheSpec spec, EventScheduler clock, UniformRandomProvider random) {
        this.spec = spec;
        this.clock = clock;
        this.random = random;
        this.storage = new CacheStorage(spec.maximumBytes());
        this.link = new Link(
                clock,
                TrafficClasses.FLOW_BYTES_PER_US * spec.weight(),
                TrafficClasses.FLOW_BYTES_PER_US * spec.transferSpeedFactor());
        this.fills = new FillTable(clock, storage, this::send);
    }

    String id() {
        return spec.id();
    }

    CacheSpec spec() {
        return spec;
    }

    CacheStorage storage() {
        return storage;
    }

    long startedUs() {
        return startedUs;
    }

    int inFlight() {
        return inFlight;
    }

    /** Another one of its kind and zone, not started yet. */
    CacheNode successor() {
        return new CacheNode(spec.successor(), clock, random);
    }

    /** From now on requests are accepted and none is answered. */
    void startSilence() {
        silent = true;
    }

    /** From now on requests are answered again; those that came meanwhile are forgotten. */
    void endSilence() {
        silent = false;
        inFlight = 0;
        generation++;
        fills.clear();
        link.clear();
    }

    /** Sets the share of requests that fail at once. */
    void setFailureShare(double share) {
        failureShare = share;
    }

    /** Starts empty and with a part of its capacity only. */
    void startCold() {
        startedUs = clock.nowUs();
        storage.clear();
        warmUp();
    }

    private void warmUp() {
        double share =
                Math.min(1, COLD_CAPACITY_SHARE + (1 - COLD_CAPACITY_SHARE) * (clock.nowUs() - startedUs) / WARM_UP_US);
        link.setCapacityShare(share);
        if (share < 1) {
            clock.after(WARM_UP_STEP_US, this::warmUp);
        }
    }

    /**
     * Serves a proxy's request.
     *
     * @param source fills a miss; null for none
     * @param coalesce a fill of the same object that is under way may be waited for
     * @param onlyIfCached the source may not fill from further sources
     * @param onReply takes the reply; never called while this cache is silent
     */
    void serve(
            CacheRequest request,
            FillSource source,
            boolean coalesce,
            boolean onlyIfCached,
            Consumer<CacheReply> onReply) {
        if (silent) {
            return;
        }
        if (failureShare > 0 && random.nextDouble() < failureShare) {
            replySoon(AttemptStatus.ERROR, onReply);
            return;
        }
        if (inFlight >= Math.max(MIN_IN_FLIGHT_LIMIT, MAX_IN_FLIGHT_PER_WEIGHT * spec.weight())) {
            replySoon(AttemptStatus.REJECTED, onReply);
            return;
        }
        Consumer<CacheReply> onEnd = admit(onReply);
        if (request.write()) {
            forwardWrite(request, source, onEnd);
            return;
        }
        CacheStorage.Copy copy = storage.get(request.object());
        if (copy != null && request.allows(copy, clock.nowUs())) {
            send(request, CacheReply.ok(CacheStatus.HIT, copy.createdUs()), onEnd);
        } else if (source == null) {
            onEnd.accept(CacheReply.withoutCopy(AttemptStatus.MISS, CacheStatus.NONE));
        } else {
            fills.fill(request, source, coalesce, onlyIfCached, onEnd);
        }
    }

    /** This cache as the source of another one's fill: the copy that it holds, or one through it from the origin. */
    FillSource asSource(FillSource origin, long oneWayUs) {
        return (request, onlyIfCached, onReply) -> clock.after(oneWayUs, () -> {
            if (!silent) {
                serveFill(request, origin, onlyIfCached, reply -> {
                    if (!silent) {
                        clock.after(oneWayUs, () -> onReply.accept(reply));
                    }
                });
            }
        });
    }

    private void serveFill(
            CacheRequest request, FillSource origin, boolean onlyIfCached, Consumer<CacheReply> onReply) {
        CacheStorage.Copy copy = storage.get(request.object());
        if (copy != null && request.allows(copy, clock.nowUs())) {
            send(request, CacheReply.ok(CacheStatus.FILLED, copy.createdUs()), onReply);
        } else if (onlyIfCached) {
            onReply.accept(CacheReply.withoutCopy(AttemptStatus.MISS, CacheStatus.SOURCE_MISS));
        } else {
            fills.fill(request, origin, true, false, onReply);
        }
    }

    private void replySoon(AttemptStatus status, Consumer<CacheReply> onReply) {
        clock.after(IMMEDIATE_REPLY_US, () -> reply(CacheReply.withoutCopy(status, CacheStatus.NONE), onReply));
    }

    private Consumer<CacheReply> admit(Consumer<CacheReply> onReply) {
        inFlight++;
        int admittedIn = generation;
        return reply -> {
            if (admittedIn == generation) {
                inFlight--;
                reply(reply, onReply);
            }
        };
    }

    private void reply(CacheReply reply, Consumer<CacheReply> onReply) {
        if (!silent) {
            onReply.accept(reply);
        }
    }

    private void send(CacheRequest request, CacheReply reply, Consumer<CacheReply> onReply) {
        link.transfer(request.bytes(), () -> onReply.accept(reply));
    }

    /** A write always runs at the origin, and is never kept. */
    private void forwardWrite(CacheRequest request, FillSource source, Consumer<CacheReply> onReply) {
        if (source == null) {
            onReply.accept(CacheReply.withoutCopy(AttemptStatus.MISS, CacheStatus.NONE));
            return;
        }
        long startUs = clock.nowUs();
        source.fetch(
                request,
                false,
                reply -> onReply.accept(new CacheReply(
                        reply.isOk() ? AttemptStatus.OK : AttemptStatus.REJECTED,
                        reply.cacheStatus(),
                        clock.nowUs() - startUs,
                        reply.createdUs())));
    }
}
