package petrelplank.routing;

/** What a response tells of a copy or a fill. */
public enum CacheStatus {
    /** The response tells nothing. */
    NONE,
    /** Served from a copy in the cache. */
    HIT,
    /** Filled from the source's copy. */
    FILLED,
    /** Filled by way of the origin. */
    FILLED_FROM_ORIGIN,
    /** Joined a fill in progress; on a miss: one is in progress. */
    COALESCED,
    /** Served from a copy past its fresh time. */
    STALE,
    /** The source rejected the fill. */
    SOURCE_REJECTED,
    /** The source was not reached, broke the connection or was too slow. */
    SOURCE_UNREACHABLE,
    /** The source has no copy. */
    SOURCE_MISS,
    /** The cache is at its limit of fills. */
    FILL_LIMIT_REACHED,
    /** The origin failed behind the parent. */
    ORIGIN_FAILED;

    /** Whether the answer came from a copy that the cache had. */
    boolean isCopy() {
        return this == HIT || this == STALE;
    }

    /** Whether the copy came from a source, with a fill of this attempt's own. */
    boolean isFill() {
        return this == FILLED || this == FILLED_FROM_ORIGIN;
    }
}
