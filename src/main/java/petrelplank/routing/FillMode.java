package petrelplank.routing;

/** What a cache may fetch from the source of an attempt. */
enum FillMode {
    /** Nothing: the cache has a copy, or no fill is allowed. */
    NONE,
    /** Only what the source has cached. */
    ONLY_IF_CACHED,
    /** Anything, including what the source first has to fetch from the origin. */
    FULL
}
