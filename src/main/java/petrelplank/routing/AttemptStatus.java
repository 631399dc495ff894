package petrelplank.routing;

/** The ways in which an attempt can end. */
public enum AttemptStatus {
    /** The endpoint served the response. */
    OK,
    /** The endpoint answered with an error; the request may have been executed. */
    ERROR,
    /** Rejected by the endpoint or its fill source, or the source was unreachable; the request was not executed. */
    REJECTED,
    /** No response before the time-out; the request may have been executed, or may still be executing. */
    TIMEOUT,
    /** No connection could be established; the request was not executed. */
    CONNECT_FAILED,
    /** The connection was reset; the request may have been executed. */
    RESET,
    /** Cancelled by the router; the request may have been executed. */
    CANCELLED,
    /** Never sent; the request was not executed. */
    NOT_SENT,
    /**
     * Withdrawn before its first byte was written, because what it was planned by no longer holds; the request was not
     * executed, and nothing is learnt of the endpoint.
     */
    WITHDRAWN,
    /** The cache has no acceptable copy and filled none; the request was not executed. */
    MISS;

    /**
     * Whether this status proves that the request was not executed.
     *
     * @return true if the request cannot have been executed
     */
    public boolean neverExecuted() {
        return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT || this == WITHDRAWN || this == MISS;
    }
}
