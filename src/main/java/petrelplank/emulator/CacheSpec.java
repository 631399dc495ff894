package petrelplank.emulator;

/**
 * The fixed properties of a cache or parent cache.
 *
 * @param id its unique id
 * @param zone the zone in which it runs
 * @param kind its kind in the list of the discovery service
 * @param weight capacity of its outgoing link, in concurrent transfers at the speed of one client
 * @param maximumBytes total size of the copies that it can hold
 * @param transferSpeedFactor maximum speed of one transfer, as a multiple of the speed of one client
 */
record CacheSpec(String id, String zone, String kind, double weight, long maximumBytes, double transferSpeedFactor) {
    static final String CACHE_KIND = "box";
    static final String PARENT_KIND = "hub";
    /** Speed of a fill as a multiple of the speed of one client: caches receive faster than clients. */
    static final double FILL_SPEED_FACTOR = 3;

    static CacheSpec cache(int zone, int number, Capacity capacity) {
        return new CacheSpec(
                ServerNames.cache(zone, number),
                ServerNames.edgeZone(zone),
                CACHE_KIND,
                capacity.cacheWeight(),
                capacity.cacheBytes(),
                1);
    }

    static CacheSpec parent(int hub, int number, Capacity capacity) {
        return new CacheSpec(
                ServerNames.parent(hub, number),
                ServerNames.hubZone(hub),
                PARENT_KIND,
                capacity.parentWeight(),
                capacity.parentBytes(),
                FILL_SPEED_FACTOR);
    }

    boolean isParent() {
        return kind.equals(PARENT_KIND);
    }

    /** Returns the properties of the server that replaces this one. */
    CacheSpec successor() {
        return new CacheSpec(ServerNames.successor(id), zone, kind, weight, maximumBytes, transferSpeedFactor);
    }
}
