package petrelplank.routing;

/** How much responses tell; see {@link CacheStatus}. */
public enum CacheStatusDetail {
    /** Nothing. */
    NONE,
    /** Hits and fills, not failures. */
    HITS,
    /** Everything, also the wait for the source. */
    ALL
}
