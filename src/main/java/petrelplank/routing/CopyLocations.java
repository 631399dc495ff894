package petrelplank.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/** The cache that last served each object, for a bounded number of objects; the least recently used one is evicted. */
final class CopyLocations {
    private static final int MAX_OBJECTS = 1 << 13;

    private final Map<Long, Endpoint> locations = new LinkedHashMap<>(16, 0.75f, true);

    /** Records that the cache holds a copy of the object. */
    void record(long key, Endpoint cache) {
        locations.put(key, cache);
        if (locations.size() > MAX_OBJECTS) {
            locations.remove(locations.keySet().iterator().next());
        }
    }

    /** Whether the cache is known to hold a copy of the object. */
    boolean holds(Endpoint cache, long key) {
        return locations.get(key) == cache;
    }

    /** Forgets where the object's copy is, after the cache turned out to have none. */
    void forgetObject(long key) {
        locations.remove(key);
    }

    /** Forgets all copies in a cache that has restarted. */
    void forgetCache(Endpoint cache) {
        locations.values().removeIf(cache::equals);
    }

    /** Forgets all copies in caches that are no longer listed. */
    void forgetRemovedCaches() {
        locations.values().removeIf(cache -> cache.state == EndpointState.REMOVED);
    }
}
