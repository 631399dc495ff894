package petrelplank.emulator;

/**
 * A request to a cache, a parent cache or the origin.
 *
 * @param requestId the client's request that it belongs to
 * @param object the object
 * @param group its group
 * @param bytes its size
 * @param maxAgeUs the oldest copy that is allowed; 0 for any
 * @param write runs at the origin
 */
record CacheRequest(String requestId, long object, int group, long bytes, long maxAgeUs, boolean write) {
    /** Whether a copy is fresh enough. */
    boolean allows(CacheStorage.Copy copy, long nowUs) {
        return maxAgeUs == 0 || nowUs - copy.createdUs() <= maxAgeUs;
    }
}
