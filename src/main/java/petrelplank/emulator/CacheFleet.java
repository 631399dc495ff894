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

/** The caches and parent caches of a fleet, and the links into the edge zones. */
final class CacheFleet {
    /** A zone's link carries fills, which are as fast as those of a parent cache. */
    private static final double LINK_TRANSFER_BYTES_PER_US =
            TrafficClasses.FLOW_BYTES_PER_US * CacheSpec.FILL_SPEED_FACTOR;

    private static final int WARMING_REQUESTS_PER_OBJECT = 40;
    private static final int MAX_WARMING_REQUESTS = 400_000;
    private static final int MAX_COPY_AGE_US = 60_000_000;
    /** An object may be at so many caches at the beginning. */
    private static final int PLACES_PER_OBJECT = 7;

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
            linksByZone.put(ServerNames.edgeZone(zone), new Link(clock, bytesPerUs, LINK_TRANSFER_BYTES_PER_US));
        }
        for (int hub = 1; hub <= topology.hubs(); hub++) {
            for (int number = 1; number <= topology.parentsPerHub(); number++) {
                add(new CacheNode(CacheSpec.parent(hub, number, capacity), clock, random));
            }
        }
    }

    void add(CacheNode node) {
        nodes.put(node.id(), node);
    }

    /** A cache by its id; null where there is none, as for the origin. */
    CacheNode node(String id) {
        return nodes.get(id);
    }

    Collection<CacheNode> nodes() {
        return Collections.unmodifiableCollection(nodes.values());
    }

    /** The link into a zone; null for a hub's zone, which has no limit. */
    Link zoneLink(String zone) {
        return linksByZone.get(zone);
    }

    /** Gives caches the copies that they would hold from earlier requests. */
    void warm(Catalogue catalogue, int objects) {
        List<CacheNode> all = new ArrayList<>(nodes.values());
        int requests = Math.min(WARMING_REQUESTS_PER_OBJECT * objects, MAX_WARMING_REQUESTS);
        for (int i = 0; i < requests; i++) {
            Catalogue.Item item = catalogue.draw();
            if (!item.serviceClass().write()) {
                CacheStorage.Copy copy = new CacheStorage.Copy(
                        catalogue.transferBytes(item),
                        clock.nowUs() - random.nextInt(MAX_COPY_AGE_US),
                        catalogue.group(item.object()));
                long place = Hash.mix(item.object() + i % PLACES_PER_OBJECT);
                CacheNode node = all.get((int) Long.remainderUnsigned(place, all.size()));
                node.storage().put(item.object(), copy);
            }
        }
    }
}
