package petrelplank.emulator;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import petrelplank.proxy.DiscoveryEvent;
import petrelplank.routing.EndpointInfo;
import petrelplank.routing.EndpointState;

/** Publishes the endpoint list and purges to the proxies, as numbered events that arrive a while later. */
final class DiscoveryService {
    private static final long MIN_DELIVERY_US = 30_000;
    private static final int DELIVERY_SPREAD_US = 200_000;
    private static final int ANY_PORT = 1;

    private final EventScheduler clock;
    private final UniformRandomProvider random;
    private final GroundTruthRecorder truth;
    private final List<DiscoveryEvent> events = new ArrayList<>();
    private final Map<String, EmulatedProxy> subscribers = new LinkedHashMap<>();
    private long heldUntilUs;

    /** Lists the origin and all caches as up; no proxy has subscribed yet. */
    DiscoveryService(EventScheduler clock, UniformRandomProvider random, GroundTruthRecorder truth, CacheFleet caches) {
        this.clock = clock;
        this.random = random;
        this.truth = truth;
        List<DiscoveryEvent.EndpointEntry> entries = new ArrayList<>();
        caches.nodes().forEach(node -> entries.add(entry(node, EndpointState.UP)));
        entries.add(originEntry());
        events.add(new DiscoveryEvent.EndpointChange(nextIndex(), true, entries));
    }

    private static DiscoveryEvent.EndpointEntry entry(CacheNode node, EndpointState state) {
        CacheSpec spec = node.spec();
        return new DiscoveryEvent.EndpointEntry(
                new EndpointInfo(spec.id(), spec.zone(), spec.kind(), 0, state, spec.weight(), node.startedUs()),
                InetSocketAddress.createUnresolved(spec.id(), ANY_PORT));
    }

    private static DiscoveryEvent.EndpointEntry originEntry() {
        return new DiscoveryEvent.EndpointEntry(
                new EndpointInfo(
                        ServerNames.ORIGIN,
                        ServerNames.hubZone(1),
                        ProxySettings.ORIGIN_KIND,
                        0,
                        EndpointState.UP,
                        1,
                        0),
                InetSocketAddress.createUnresolved(ServerNames.ORIGIN, ANY_PORT));
    }

    private int nextIndex() {
        return events.size() + 1;
    }

    /** A proxy that has started receives all events so far at once; it takes the place of one of the same name. */
    void subscribe(EmulatedProxy proxy) {
        subscribers.put(proxy.name(), proxy);
        events.forEach(event -> deliver(proxy, event));
    }

    /** Until a time, nothing is delivered. */
    void holdUntil(long untilUs) {
        heldUntilUs = untilUs;
    }

    void publishState(EndpointState state, List<CacheNode> nodes) {
        List<DiscoveryEvent.EndpointEntry> entries =
                nodes.stream().map(node -> entry(node, state)).toList();
        publish(new DiscoveryEvent.EndpointChange(nextIndex(), false, entries));
    }

    void publishPurge(PurgeTarget target, long unixMs) {
        publish(new DiscoveryEvent.Purge(nextIndex(), target.object(), target.group(), unixMs));
    }

    private void publish(DiscoveryEvent event) {
        events.add(event);
        for (EmulatedProxy proxy : subscribers.values()) {
            long heldUs = Math.max(0, heldUntilUs - clock.nowUs());
            clock.after(
                    heldUs + MIN_DELIVERY_US + random.nextInt(DELIVERY_SPREAD_US),
                    () -> deliverUpTo(proxy, event.index()));
        }
    }

    /** Delivers what the proxy lacks up to an event: in order, although a later event may arrive first. */
    private void deliverUpTo(EmulatedProxy proxy, long index) {
        long lastIndex = proxy.lastEventIndex();
        if (index > lastIndex) {
            events.stream()
                    .filter(event -> event.index() > lastIndex && event.index() <= index)
                    .toList()
                    .forEach(event -> deliver(proxy, event));
        }
    }

    private void deliver(EmulatedProxy proxy, DiscoveryEvent event) {
        if (proxy.isAlive()) {
            truth.notified(proxy, event);
            proxy.onDiscoveryEvent(event);
        }
    }
}
