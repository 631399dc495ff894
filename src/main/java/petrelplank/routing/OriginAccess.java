package petrelplank.routing;

/** Whether a request may call the origin while the {@link OriginLoadShedder} limits calls. */
enum OriginAccess {
    /** Calls are not limited. */
    UNRESTRICTED,
    /** Its attempts take only what parents hold. */
    WITHHELD,
    /** It was drawn to call the origin with its next attempt, after one with only what parents hold. */
    SAMPLED,
    /** It was drawn, and its attempts may call the origin. */
    GRANTED;

    boolean isOnlyIfCached() {
        return this == WITHHELD || this == SAMPLED;
    }

    boolean isSampled() {
        return this == SAMPLED || this == GRANTED;
    }
}
