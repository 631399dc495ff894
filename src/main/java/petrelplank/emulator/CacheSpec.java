package petrelplank.emulator;

/**
 * What a cache or a parent cache is, apart from its state.
 *
 * @param id its name
 * @param zone its zone
 * @param kind its kind, as the discovery service lists it
 * @param weight its outgoing link, in transfers at full speed
 * @param maximumBytes what it holds
 * @param transferSpeedFactor top speed of one transfer, as a multiple of that to a client
 */
record CacheSpec(String id, String zone, String kind, double weight, long maximumBytes, double transferSpeedFactor) {
    static final String CACHE_KIND = "box";
    static final String PARENT_KIND = "hub";
    /** Caches take a fill faster than clients take a response. */
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

    CacheSpec successor() {
        return new CacheSpec(ServerNames.successor(id), zone, kind, weight, maximumBytes, transferSpeedFactor);
    }
}
