package petrelplank.routing;

/** What the cache may fetch from the attempt's source. */
enum FillMode {
    /** Nothing: it has a copy, or may not fill. */
    NONE,
    /** Only what the source holds itself. */
    ONLY_IF_CACHED,
    /** Also what the source has to fetch from the origin. */
    FULL
}
