package petrelplank.routing;

/** What the answer tells of a copy or a fill. */
public enum CacheStatus {
    /** Nothing is told. */
    NONE,
    /** The copy was there. */
    HIT,
    /** Filled from the source's copy. */
    FILLED,
    /** Filled by way of the origin. */
    FILLED_FROM_ORIGIN,
    /** Joined a fill under way; on a miss: one is under way. */
    COALESCED,
    /** Served from a copy past its fresh time. */
    STALE,
    /** The source refused. */
    SOURCE_REJECTED,
    /** The source was not reached, broke off or was too slow. */
    SOURCE_UNREACHABLE,
    /** The source has no copy. */
    SOURCE_MISS,
    /** The cache has no place left for a fill. */
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
