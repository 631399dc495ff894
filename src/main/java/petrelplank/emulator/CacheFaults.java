package petrelplank.emulator;

import java.util.List;
import java.util.function.Consumer;
import petrelplank.routing.EndpointState;

/** Injects the faults of caches, of parent caches and of the links into zones. */
final class CacheFaults {
    /** A server is listed so long after its start. */
    private static final long LISTING_DELAY_US = 800_000;
    /** A replaced server leaves so long after it was listed as draining. */
    private static final long REMOVAL_DELAY_US = 6_000_000;

    private final EventScheduler clock;
    private final CacheFleet caches;
    private final DiscoveryService discovery;

    CacheFaults(EventScheduler clock, CacheFleet caches, DiscoveryService discovery) {
        this.clock = clock;
        this.caches = caches;
        this.discovery = discovery;
    }

    void silence(Fault fault) {
        during(fault, CacheNode::startSilence, CacheNode::endSilence);
    }

    void failFast(Fault fault) {
        during(fault, node -> node.setFailureShare(fault.share()), node -> node.setFailureShare(0));
    }

    /** A lost server is not listed as draining or gone; it returns cold. */
    void lose(Fault fault) {
        during(fault, CacheNode::startSilence, node -> {
            node.endSilence();
            node.startCold();
            clock.after(LISTING_DELAY_US, () -> discovery.publishState(EndpointState.UP, List.of(node)));
        });
    }

    private void during(Fault fault, Consumer<CacheNode> onStart, Consumer<CacheNode> onEnd) {
        for (String id : fault.servers()) {
            clock.at(fault.startUnixUs(), () -> onStart.accept(caches.node(id)));
            clock.at(fault.endUnixUs(), () -> onEnd.accept(caches.node(id)));
        }
    }

    void drain(Fault fault) {
        clock.at(fault.startUnixUs(), () -> discovery.publishState(EndpointState.DRAINING, nodes(fault)));
        clock.at(fault.endUnixUs(), () -> discovery.publishState(EndpointState.REMOVED, nodes(fault)));
    }

    private List<CacheNode> nodes(Fault fault) {
        return fault.servers().stream().map(caches::node).toList();
    }

    void crowdLinks(Fault fault) {
        clock.at(fault.startUnixUs(), () -> setLinkCapacity(fault.servers(), fault.share()));
        clock.at(fault.endUnixUs(), () -> setLinkCapacity(fault.servers(), 1));
    }

    private void setLinkCapacity(List<String> zones, double share) {
        zones.forEach(zone -> caches.zoneLink(zone).setCapacityShare(share));
    }

    /** Replaces servers at even intervals over the fault's duration. */
    void replace(Fault fault) {
        int count = fault.servers().size();
        for (int i = 0; i < count; i++) {
            CacheNode old = caches.node(fault.servers().get(i));
            clock.at(fault.startUnixUs() + fault.durationUs() * i / count, () -> replace(old));
        }
    }

    /** A new server starts cold beside the old one, which then drains and is gone a while later. */
    private void replace(CacheNode old) {
        CacheNode successor = old.successor();
        caches.add(successor);
        successor.startCold();
        clock.after(LISTING_DELAY_US, () -> {
            discovery.publishState(EndpointState.UP, List.of(successor));
            discovery.publishState(EndpointState.DRAINING, List.of(old));
        });
        clock.after(LISTING_DELAY_US + REMOVAL_DELAY_US, () -> {
            discovery.publishState(EndpointState.REMOVED, List.of(old));
            old.startSilence();
        });
    }
}
