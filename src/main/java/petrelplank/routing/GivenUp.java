package petrelplank.routing;

/** Why a request is given up. */
public enum GivenUp {
    /** Too little of its time is left. */
    TIME,
    /** The origin was short, and its writes were shed: no longer done, kept for earlier records. */
    ORIGIN_SHORT,
    /** It has had all its attempts. */
    ATTEMPTS,
    /** An attempt may have run, and it may not run twice. */
    MAY_HAVE_RUN,
    /** The retry budget is used up, or its errors are its own. */
    NO_RETRY,
    /** No server may take it. */
    NO_SERVER,
    /** No fill may be made for it, and no cache holds it. */
    NO_FILL
}
