package petrelplank.routing;

/** How much of the {@link CacheStatus} responses report. */
public enum CacheStatusDetail {
    /** Responses report no cache status. */
    NONE,
    /** Responses report hits and fills, but no failures. */
    HITS,
    /** Responses report every cache status, and the time spent waiting for the source. */
    ALL
}
