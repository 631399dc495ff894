package petrelplank.routing;

/** The endpoints among which repeats of a request with the same idempotency key are dropped. */
public enum IdempotencyScope {
    /** All endpoints. */
    ALL,
    /** The endpoints of one zone. */
    ZONE,
    /** The endpoints of one cell. */
    CELL
}
