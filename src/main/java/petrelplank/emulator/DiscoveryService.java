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

/** Publishes endpoint changes and purges to the proxies as numbered events, each with a random delivery delay. */
final class DiscoveryService {
    private static final long MIN_DELIVERY_DELAY_US = 30_000;
    private static final int DELIVERY_JITTER_US = 200_000;
    private static final int UNUSED_PORT = 1;

    private final EventScheduler clock;
    private final UniformRandomProvider random;
    private final GroundTruthRecorder truth;
    private final List<DiscoveryEvent> events = new ArrayList<>();
    private final Map<String, EmulatedProxy> subscribers = new LinkedHashMap<>();
    private long deliveryPausedUntilUs;

    /** Creates the service with a first event that lists the origin and all caches as up; no proxy is subscribed. */
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
                InetSocketAddress.createUnresolved(spec.id(), UNUSED_PORT));
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
                InetSocketAddress.createUnresolved(ServerNames.ORIGIN, UNUSED_PORT));
    }

    private int nextIndex() {
        return events.size() + 1;
    }

    /**
     * Subscribes a newly started proxy and immediately delivers all earlier events to it. It replaces an earlier
     * subscriber of the same name, so that a restarted proxy takes over the subscription.
     */
    void subscribe(EmulatedProxy proxy) {
        subscribers.put(proxy.name(), proxy);
        events.forEach(event -> deliver(proxy, event));
    }

    /** Delays the delivery of events published from now on until after the given time. */
    void pauseDeliveryUntil(long untilUs) {
        deliveryPausedUntilUs = untilUs;
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
            long pauseUs = Math.max(0, deliveryPausedUntilUs - clock.nowUs());
            clock.after(
                    pauseUs + MIN_DELIVERY_DELAY_US + random.nextInt(DELIVERY_JITTER_US),
                    () -> deliverMissingEvents(proxy, event.index()));
        }
    }

    /**
     * Delivers all events up to {@code index} that the proxy has not received yet, in order. Delivery delays are
     * random, so a later event may become due before an earlier one.
     */
    private void deliverMissingEvents(EmulatedProxy proxy, long index) {
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
            truth.eventDelivered(proxy, event);
            proxy.onDiscoveryEvent(event);
        }
    }
}
