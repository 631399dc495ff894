package petrelplank.routing;

/** Why a request is terminated without a response. */
public enum TerminationReason {
    /** Too little time is left before its deadline. */
    DEADLINE_TOO_CLOSE,
    /** The origin was overloaded, and writes were shed: no longer done, kept for earlier records. */
    ORIGIN_OVERLOADED,
    /** It has had all the attempts that are allowed. */
    ATTEMPTS_EXHAUSTED,
    /** An attempt may have run, and it may not run twice. */
    MAY_HAVE_EXECUTED,
    /** The retry budget is used up, or the request itself causes the errors. */
    RETRY_BUDGET_EXHAUSTED,
    /** No endpoint may take it. */
    NO_ENDPOINT_AVAILABLE,
    /** No fill may be made for it, and the cache has no copy. */
    FILL_NOT_ALLOWED
}
