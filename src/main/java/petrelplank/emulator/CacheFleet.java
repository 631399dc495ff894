package petrelplank.emulator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import petrelplank.routing.Hash;

/** The caches and parent caches of a fleet, and the incoming links of the edge zones. */
final class CacheFleet {
    /** Maximum speed of one transfer on a zone's link: the link carries fills, at the speed of a parent cache. */
    private static final double MAX_FILL_BYTES_PER_US = TrafficClasses.FLOW_BYTES_PER_US * CacheSpec.FILL_SPEED_FACTOR;

    private static final int WARMING_REQUESTS_PER_OBJECT = 40;
    private static final int MAX_WARMING_REQUESTS = 400_000;
    private static final int MAX_COPY_AGE_US = 60_000_000;
    /** Maximum number of caches that hold a copy of the same object after warming. */
    private static final int CACHES_PER_OBJECT = 7;

    private final EventScheduler clock;
    private final UniformRandomProvider random;
    private final Map<String, CacheNode> nodes = new LinkedHashMap<>();
    private final Map<String, Link> linksByZone = new HashMap<>();

    CacheFleet(EventScheduler clock, Topology topology, Capacity capacity, UniformRandomProvider random) {
        this.clock = clock;
        this.random = random;
        for (int zone = 1; zone <= topology.edgeZones(); zone++) {
            for (int number = 1; number <= topology.cachesPerZone(); number++) {
                add(new CacheNode(CacheSpec.cache(zone, number, capacity), clock, random));
            }
            double bytesPerUs = TrafficClasses.FLOW_BYTES_PER_US * capacity.zoneLinkWeight();
            linksByZone.put(ServerNames.edgeZone(zone), new Link(clock, bytesPerUs, MAX_FILL_BYTES_PER_US));
        }
        for (int hub = 1; hub <= topology.hubs(); hub++) {
            for (int number = 1; number <= topology.parentsPerHub(); number++) {
                add(new CacheNode(CacheSpec.parent(hub, number, capacity), clock, random));
            }
        }
    }

    /** Adds a cache, which is reachable by its id from now on. */
    void add(CacheNode node) {
        nodes.put(node.id(), node);
    }

    /** Returns the cache or parent cache with an id, or null if there is none, as for the origin. */
    CacheNode node(String id) {
        return nodes.get(id);
    }

    /** Returns all caches and parent caches, in the order in which they were added. */
    Collection<CacheNode> nodes() {
        return Collections.unmodifiableCollection(nodes.values());
    }

    /** Returns the incoming link of an edge zone, or null for the zone of a hub, whose link is not limited. */
    Link zoneLink(String zone) {
        return linksByZone.get(zone);
    }

    /** Fills the caches with copies as if requests had been served before the emulation starts. */
    void warm(Catalogue catalogue, int objects) {
        List<CacheNode> allNodes = new ArrayList<>(nodes.values());
        int requests = Math.min(WARMING_REQUESTS_PER_OBJECT * objects, MAX_WARMING_REQUESTS);
        for (int i = 0; i < requests; i++) {
            Catalogue.Item item = catalogue.draw();
            if (!item.serviceClass().write()) {
                CacheStorage.Copy copy = new CacheStorage.Copy(
                        catalogue.transferBytes(item),
                        clock.nowUs() - random.nextInt(MAX_COPY_AGE_US),
                        catalogue.group(item.object()));
                long placementHash = Hash.mix(item.object() + i % CACHES_PER_OBJECT);
                CacheNode node = allNodes.get((int) Long.remainderUnsigned(placementHash, allNodes.size()));
                node.storage().put(item.object(), copy);
            }
        }
    }
}
