package petrelplank.emulator;

/**
 * The size of a fleet. Zones at the edge hold proxies and caches; hubs are the zones of the parent caches. Hubs form a
 * ring, and the origin is at the first one.
 *
 * @param edgeZones zones at the edge
 * @param proxiesPerZone proxies in each zone at the edge
 * @param cachesPerZone caches in each zone at the edge
 * @param hubs hub zones
 * @param parentsPerHub parent caches in each hub
 */
public record Topology(int edgeZones, int proxiesPerZone, int cachesPerZone, int hubs, int parentsPerHub) {
    /** All proxies of the fleet. */
    int proxies() {
        return edgeZones * proxiesPerZone;
    }

    Topology withProxiesPerZone(int proxies) {
        return new Topology(edgeZones, proxies, cachesPerZone, hubs, parentsPerHub);
    }

    /** Whether a name is that of an edge zone, a proxy, a cache or a parent cache of this fleet. */
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
