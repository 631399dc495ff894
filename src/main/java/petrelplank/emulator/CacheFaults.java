package petrelplank.emulator;

import java.util.List;
import java.util.function.Consumer;
import petrelplank.routing.EndpointState;

/** Injects faults into caches, parent caches and the incoming links of zones. */
final class CacheFaults {
    /** Time from the start of a server until the discovery service lists it. */
    private static final long LISTING_DELAY_US = 800_000;
    /** Time for which a replaced server is listed as draining before it is removed. */
    private static final long REMOVAL_DELAY_US = 6_000_000;

    private final EventScheduler clock;
    private final CacheFleet caches;
    private final DiscoveryService discovery;

    CacheFaults(EventScheduler clock, CacheFleet caches, DiscoveryService discovery) {
        this.clock = clock;
        this.caches = caches;
        this.discovery = discovery;
    }

    /** Makes the servers accept requests without replying for the duration of the fault. */
    void silence(Fault fault) {
        scheduleOnServers(fault, CacheNode::startSilence, CacheNode::endSilence);
    }

    /** Makes a share of the requests to the servers fail immediately for the duration of the fault. */
    void failFast(Fault fault) {
        scheduleOnServers(fault, node -> node.setFailureShare(fault.share()), node -> node.setFailureShare(0));
    }

    /**
     * Stops the servers without notice: they fall silent but stay listed as up. After the fault they restart with an
     * empty cache and are listed again.
     */
    void lose(Fault fault) {
        scheduleOnServers(fault, CacheNode::startSilence, node -> {
            node.endSilence();
            node.startCold();
            clock.after(LISTING_DELAY_US, () -> discovery.publishState(EndpointState.UP, List.of(node)));
        });
    }

    private void scheduleOnServers(Fault fault, Consumer<CacheNode> onStart, Consumer<CacheNode> onEnd) {
        for (String id : fault.servers()) {
            clock.at(fault.startUnixUs(), () -> onStart.accept(caches.node(id)));
            clock.at(fault.endUnixUs(), () -> onEnd.accept(caches.node(id)));
        }
    }

    /** Lists the servers as draining when the fault starts, and as removed when it ends. */
    void drain(Fault fault) {
        clock.at(fault.startUnixUs(), () -> discovery.publishState(EndpointState.DRAINING, nodes(fault)));
        clock.at(fault.endUnixUs(), () -> discovery.publishState(EndpointState.REMOVED, nodes(fault)));
    }

    private List<CacheNode> nodes(Fault fault) {
        return fault.servers().stream().map(caches::node).toList();
    }

    /** Reduces the capacity of the incoming links of zones for the duration of the fault. */
    void crowdLinks(Fault fault) {
        clock.at(fault.startUnixUs(), () -> setLinkCapacity(fault.servers(), fault.share()));
        clock.at(fault.endUnixUs(), () -> setLinkCapacity(fault.servers(), 1));
    }

    private void setLinkCapacity(List<String> zones, double share) {
        zones.forEach(zone -> caches.zoneLink(zone).setCapacityShare(share));
    }

    /** Replaces the servers one after another, at even intervals over the duration of the fault. */
    void replace(Fault fault) {
        int count = fault.servers().size();
        for (int i = 0; i < count; i++) {
            CacheNode replaced = caches.node(fault.servers().get(i));
            clock.at(fault.startUnixUs() + fault.durationUs() * i / count, () -> replaceServer(replaced));
        }
    }

    /** Starts a successor with an empty cache. Once it is listed, the replaced server drains and is later removed. */
    private void replaceServer(CacheNode replaced) {
        CacheNode successor = replaced.successor();
        caches.add(successor);
        successor.startCold();
        clock.after(LISTING_DELAY_US, () -> {
            discovery.publishState(EndpointState.UP, List.of(successor));
            discovery.publishState(EndpointState.DRAINING, List.of(replaced));
        });
        clock.after(LISTING_DELAY_US + REMOVAL_DELAY_US, () -> {
            discovery.publishState(EndpointState.REMOVED, List.of(replaced));
            replaced.startSilence();
        });
    }
}
