package petrelplank.emulator;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import petrelplank.proxy.Attempt;
import petrelplank.proxy.UpstreamRequest;
import petrelplank.proxy.UpstreamResponse;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;

/** Carries attempts from proxies to servers and fills between servers, with a random delay in each direction. */
final class Network implements EmulatedProxy.AttemptTransport {
    private static final long CACHE_ONE_WAY_US = 700;
    private static final long PARENT_ONE_WAY_US = 4_000;
    private static final long ORIGIN_ONE_WAY_US = 12_000;
    private static final double MIN_DELAY_FACTOR = 0.8;
    private static final double DELAY_SPREAD = 0.4;

    private final EventScheduler clock;
    private final UniformRandomProvider random;
    private final Catalogue catalogue;
    private final OpenRequests openRequests;
    private final CacheFleet caches;
    private final OriginServer origin;
    private final GroundTruthRecorder truth;
    /** Response bodies by length, reused because a fleet sends the same few lengths over and over. */
    private final Map<Integer, byte[]> bodies = new HashMap<>();

    Network(
            EventScheduler clock,
            UniformRandomProvider random,
            Catalogue catalogue,
            OpenRequests openRequests,
            CacheFleet caches,
            OriginServer origin,
            GroundTruthRecorder truth) {
        this.clock = clock;
        this.random = random;
        this.catalogue = catalogue;
        this.openRequests = openRequests;
        this.caches = caches;
        this.origin = origin;
        this.truth = truth;
    }

    private long delayUs(long averageUs) {
        return (long) (averageUs * (MIN_DELAY_FACTOR + DELAY_SPREAD * random.nextDouble()));
    }

    @Override
    public void send(EmulatedProxy proxy, Attempt attempt) {
        UpstreamRequest upstreamRequest = attempt.request();
        CacheRequest request = cacheRequest(upstreamRequest);
        CacheNode node = caches.node(attempt.server());
        long oneWayUs = oneWayUs(node);
        Consumer<CacheReply> onReply = reply ->
                clock.after(delayUs(oneWayUs), () -> proxy.onResponse(attempt, response(request, reply, node)));
        clock.after(delayUs(oneWayUs), () -> {
            if (node == null) {
                callOrigin(request, onReply);
            } else {
                FillSource source =
                        upstreamRequest.fillSource() == null ? null : fillSource(upstreamRequest.fillSource(), node);
                node.serve(request, source, upstreamRequest.coalesce(), upstreamRequest.onlyIfCached(), onReply);
            }
        });
    }

    private CacheRequest cacheRequest(UpstreamRequest upstreamRequest) {
        Catalogue.Item item = openRequests.item(upstreamRequest.id());
        long object = Long.parseUnsignedLong(upstreamRequest.object(), 16);
        return new CacheRequest(
                upstreamRequest.id(),
                object,
                catalogue.group(object),
                item == null ? TrafficClasses.KIB : catalogue.transferBytes(item),
                upstreamRequest.maxAgeMs() * 1000,
                upstreamRequest.serviceClass().equals(TrafficClasses.STOCK_MOVES.name()));
    }

    private static long oneWayUs(CacheNode node) {
        if (node == null) {
            return ORIGIN_ONE_WAY_US;
        }
        return node.spec().isParent() ? PARENT_ONE_WAY_US : CACHE_ONE_WAY_US;
    }

    /**
     * Returns the source of a fill: another cache or the origin. A fill from outside the zone of the filled cache also
     * passes the incoming link of that zone.
     */
    private FillSource fillSource(String sourceId, CacheNode filledNode) {
        CacheNode node = caches.node(sourceId);
        FillSource originSource = (request, onlyIfCached, onReply) ->
                clock.after(delayUs(ORIGIN_ONE_WAY_US), () -> callOrigin(request, onReply));
        FillSource source = node == null ? originSource : node.asSource(originSource, delayUs(PARENT_ONE_WAY_US));
        Link link = caches.zoneLink(filledNode.spec().zone());
        boolean sameZone =
                node != null && node.spec().zone().equals(filledNode.spec().zone());
        return link == null || sameZone ? source : throughLink(source, link);
    }

    private static FillSource throughLink(FillSource source, Link link) {
        return (request, onlyIfCached, onReply) -> source.fetch(request, onlyIfCached, reply -> {
            if (reply.isOk() && !request.write()) {
                link.transfer(request.bytes(), () -> onReply.accept(reply));
            } else {
                onReply.accept(reply);
            }
        });
    }

    private void callOrigin(CacheRequest request, Consumer<CacheReply> onReply) {
        origin.call(succeeded -> {
            if (succeeded && request.write()) {
                truth.writeExecuted(request.requestId());
            }
            clock.after(delayUs(ORIGIN_ONE_WAY_US), () -> onReply.accept(originReply(succeeded)));
        });
    }

    private CacheReply originReply(boolean succeeded) {
        return succeeded
                ? CacheReply.ok(CacheStatus.FILLED_FROM_ORIGIN, clock.nowUs())
                : CacheReply.withoutCopy(AttemptStatus.REJECTED, CacheStatus.ORIGIN_FAILED);
    }

    private UpstreamResponse response(CacheRequest request, CacheReply reply, CacheNode node) {
        int length = reply.isOk() ? (int) request.bytes() : 0;
        return new UpstreamResponse(
                request.requestId(),
                reply.status(),
                false,
                null,
                reply.cacheStatus(),
                reply.sourceWaitUs(),
                reply.createdUs() / 1000,
                node == null ? null : loadReport(node),
                length,
                bodies.computeIfAbsent(length, byte[]::new));
    }

    /** Returns the load report of a cache, in the order of the report fields in {@link ProxySettings}. */
    private double[] loadReport(CacheNode node) {
        Link link = caches.zoneLink(node.spec().zone());
        return new double[] {node.inFlight(), link == null ? 0 : link.utilization()};
    }
}
