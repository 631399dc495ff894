package petrelplank.routing;

/** What a response reports about the cached copy or the fill. */
public enum CacheStatus {
    /** The response reports nothing. */
    NONE,
    /** Served from a copy in the cache. */
    HIT,
    /** Filled from a copy at the source. */
    FILLED,
    /** Filled with a response that came from the origin. */
    FILLED_FROM_ORIGIN,
    /** Joined a fill in progress (request coalescing); with a miss: a fill is in progress. */
    COALESCED,
    /** Served from a stale copy in the cache. */
    STALE,
    /** The source rejected the fill. */
    SOURCE_REJECTED,
    /** The source could not be reached, reset the connection or was too slow. */
    SOURCE_UNREACHABLE,
    /** The source has no copy. */
    SOURCE_MISS,
    /** The cache has reached its limit of concurrent fills. */
    FILL_LIMIT_REACHED,
    /** The origin failed when the parent called it. */
    ORIGIN_FAILED;

    /** Whether the response was served from a copy that the cache already had. */
    boolean isCopy() {
        return this == HIT || this == STALE;
    }

    /** Whether this attempt caused a fill of its own from a source. */
    boolean isFill() {
        return this == FILLED || this == FILLED_FROM_ORIGIN;
    }
}
