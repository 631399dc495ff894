package petrelplank.emulator;

/**
 * The size of a fleet. Edge zones contain proxies and caches; hub zones contain parent caches. The hubs form a ring,
 * and the origin is in the first hub.
 *
 * @param edgeZones the number of edge zones
 * @param proxiesPerZone the number of proxies in each edge zone
 * @param cachesPerZone the number of caches in each edge zone
 * @param hubs the number of hub zones
 * @param parentsPerHub the number of parent caches in each hub zone
 */
public record Topology(int edgeZones, int proxiesPerZone, int cachesPerZone, int hubs, int parentsPerHub) {
    /** Returns the number of proxies in the whole fleet. */
    int proxies() {
        return edgeZones * proxiesPerZone;
    }

    Topology withProxiesPerZone(int proxies) {
        return new Topology(edgeZones, proxies, cachesPerZone, hubs, parentsPerHub);
    }

    /** Returns whether the name is that of an edge zone, proxy, cache or parent cache of this fleet. */
    boolean contains(String name) {
        for (int zone = 1; zone <= edgeZones; zone++) {
            if (name.equals(ServerNames.edgeZone(zone)) || containsInZone(zone, name)) {
                return true;
            }
        }
        for (int hub = 1; hub <= hubs; hub++) {
            for (int number = 1; number <= parentsPerHub; number++) {
                if (name.equals(ServerNames.parent(hub, number))) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean containsInZone(int zone, String name) {
        for (int number = 1; number <= proxiesPerZone; number++) {
            if (name.equals(ServerNames.proxy(zone, number))) {
                return true;
            }
        }
        for (int number = 1; number <= cachesPerZone; number++) {
            if (name.equals(ServerNames.cache(zone, number))) {
                return true;
            }
        }
        return false;
    }
}
