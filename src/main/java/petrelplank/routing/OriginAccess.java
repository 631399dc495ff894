package petrelplank.routing;

/** Whether a request may call the origin, which the {@link OriginLoadShedder} decides during an overload. */
enum OriginAccess {
    /** Calls are not limited. */
    UNRESTRICTED,
    /** The request may not call the origin: its attempts are served only from caches and parents. */
    WITHHELD,
    /**
     * The request was sampled after a miss at a parent: its next attempt may call the origin. The attempt that has just
     * ended was still limited to cached copies.
     */
    SAMPLED,
    /** The request was sampled, and its attempts may call the origin. */
    GRANTED;

    boolean isOnlyIfCached() {
        return this == WITHHELD || this == SAMPLED;
    }

    boolean isSampled() {
        return this == SAMPLED || this == GRANTED;
    }
}
