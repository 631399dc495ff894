package petrelplank.routing;

/** What the answer tells of a copy or a fill. */
public enum Note {
    /** Nothing is told. */
    NONE,
    /** The copy was there. */
    HIT,
    /** Filled from the source's copy. */
    FILLED,
    /** Filled by way of the origin. */
    FROM_ORIGIN,
    /** Joined a fill under way; on a miss: one is under way. */
    JOINED,
    /** Served from a copy past its fresh time. */
    OLD_COPY,
    /** The source refused. */
    SOURCE_REFUSED,
    /** The source was not reached, broke off or was too slow. */
    SOURCE_UNREACHABLE,
    /** The source has no copy. */
    SOURCE_LACKS,
    /** The cache has no place left for a fill. */
    NO_FILL_PLACE,
    /** The origin failed behind the parent. */
    ORIGIN_FAILED
}
