package petrelplank.routing;

/** Why the router terminates a request without a response. */
public enum TerminationReason {
    /** Too little time is left before the deadline of the request. */
    DEADLINE_TOO_CLOSE,
    /** The origin was overloaded and a write was shed. No longer produced; kept for reading older record files. */
    ORIGIN_OVERLOADED,
    /** The request has had the maximum number of attempts. */
    ATTEMPTS_EXHAUSTED,
    /** An earlier attempt may have been executed, and the request must not be executed twice. */
    MAY_HAVE_EXECUTED,
    /** The retry budget is used up, or the request itself is taken for the cause of its errors. */
    RETRY_BUDGET_EXHAUSTED,
    /** No endpoint can take the request. */
    NO_ENDPOINT_AVAILABLE,
    /** No fill is allowed for the request, and the cache has no copy. */
    FILL_NOT_ALLOWED
}
