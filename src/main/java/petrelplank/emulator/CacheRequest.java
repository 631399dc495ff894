package petrelplank.emulator;

/**
 * A request to a cache, a parent cache or the origin.
 *
 * @param requestId id of the client request that it belongs to
 * @param object id of the requested object
 * @param group purge group of the object
 * @param bytes size of the object as transferred
 * @param maxAgeUs maximum age of an acceptable copy, or 0 for no limit
 * @param write whether this is a write, which only the origin can execute
 */
record CacheRequest(String requestId, long object, int group, long bytes, long maxAgeUs, boolean write) {
    /** Returns whether a copy is young enough for this request. */
    boolean allows(CacheStorage.Copy copy, long nowUs) {
        return maxAgeUs == 0 || nowUs - copy.createdUs() <= maxAgeUs;
    }
}
