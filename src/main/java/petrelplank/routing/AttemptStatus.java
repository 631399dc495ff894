package petrelplank.routing;

/** How an attempt ended. */
public enum AttemptStatus {
    /** Served. */
    OK,
    /** The endpoint answered with an error; the request may have run. */
    ERROR,
    /** Rejected by the endpoint or its fill source, or the source was not reached; the request did not run. */
    REJECTED,
    /** No response before the time-out; the request may have run or still run. */
    TIMEOUT,
    /** No connection was made; the request did not run. */
    CONNECT_FAILED,
    /** The connection broke; the request may have run. */
    RESET,
    /** Cancelled by the router; the request may have run. */
    CANCELLED,
    /** Never sent; the request did not run. */
    NOT_SENT,
    /** No acceptable copy, and none was filled; the request did not run. */
    MISS;

    /**
     * Whether this status proves that the request did not run.
     *
     * @return true where nothing can have happened
     */
    public boolean neverExecuted() {
        return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT || this == MISS;
    }
}
