package petrelplank.emulator;

import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;

/** An emulated cache or parent cache: stored copies, outgoing link, fills in flight and injected faults. */
final class CacheNode {
    /** Share of its link capacity that a cache has right after a cold start. */
    static final double COLD_CAPACITY_SHARE = 0.15;
    /** Time from a cold start until a cache has its full link capacity. */
    static final long WARM_UP_US = 15_000_000;
    /** Requests in flight per unit of the link's weight, from which on new requests are rejected. */
    private static final double MAX_IN_FLIGHT_PER_WEIGHT = 8;

    private static final int MIN_IN_FLIGHT_LIMIT = 4;
    private static final long WARM_UP_STEP_US = 250_000;
    private static final long IMMEDIATE_REPLY_DELAY_US = 300;

    private final CacheSpec spec;
    private final EventScheduler clock;
    private final UniformRandomProvider random;
    private final CacheStorage storage;
    private final Link link;
    private final FillTable fills;
    private int inFlight;
    /** Incremented when all requests in flight are dropped, so that their late replies are ignored. */
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

    /** Creates a cache of the same kind in the same zone, which has not started yet. */
    CacheNode successor() {
        return new CacheNode(spec.successor(), clock, random);
    }

    /** From now on, requests are accepted but never answered. */
    void startSilence() {
        silent = true;
    }

    /** Answers requests again. Those still in flight, from before and during the silence, are dropped. */
    void endSilence() {
        silent = false;
        inFlight = 0;
        generation++;
        fills.clear();
        link.clear();
    }

    /** Sets the share of requests that are answered with an error immediately. */
    void setFailureShare(double share) {
        failureShare = share;
    }

    /** Starts with no copies and with reduced link capacity, which then grows to its full value. */
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
     * Serves a request from a proxy.
     *
     * @param source where a miss is filled from, or null if a miss must not be filled
     * @param coalesce whether the request may wait for a fill of the same object that is already in flight
     * @param onlyIfCached whether the source may reply only with a copy that it already holds
     * @param onReply receives the reply; not called while this cache is silent
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
            replyWithoutServing(AttemptStatus.ERROR, onReply);
            return;
        }
        if (inFlight >= Math.max(MIN_IN_FLIGHT_LIMIT, MAX_IN_FLIGHT_PER_WEIGHT * spec.weight())) {
            replyWithoutServing(AttemptStatus.REJECTED, onReply);
            return;
        }
        Consumer<CacheReply> releaseAndReply = admit(onReply);
        if (request.write()) {
            forwardWrite(request, source, releaseAndReply);
            return;
        }
        CacheStorage.Copy copy = storage.get(request.object());
        if (copy != null && request.allows(copy, clock.nowUs())) {
            send(request, CacheReply.ok(CacheStatus.HIT, copy.createdUs()), releaseAndReply);
        } else if (source == null) {
            releaseAndReply.accept(CacheReply.withoutCopy(AttemptStatus.MISS, CacheStatus.NONE));
        } else {
            fills.fill(request, source, coalesce, onlyIfCached, releaseAndReply);
        }
    }

    /**
     * Returns this cache as a source for fills of other caches. It replies with the copy that it holds, or else fills
     * the object from the origin first.
     */
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

    private void replyWithoutServing(AttemptStatus status, Consumer<CacheReply> onReply) {
        clock.after(
                IMMEDIATE_REPLY_DELAY_US,
                () -> replyUnlessSilent(CacheReply.withoutCopy(status, CacheStatus.NONE), onReply));
    }

    private Consumer<CacheReply> admit(Consumer<CacheReply> onReply) {
        inFlight++;
        int admittedGeneration = generation;
        return reply -> {
            if (admittedGeneration == generation) {
                inFlight--;
                replyUnlessSilent(reply, onReply);
            }
        };
    }

    private void replyUnlessSilent(CacheReply reply, Consumer<CacheReply> onReply) {
        if (!silent) {
            onReply.accept(reply);
        }
    }

    private void send(CacheRequest request, CacheReply reply, Consumer<CacheReply> onReply) {
        link.transfer(request.bytes(), () -> onReply.accept(reply));
    }

    /** Forwards a write to the origin. The response to a write is never stored. */
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
