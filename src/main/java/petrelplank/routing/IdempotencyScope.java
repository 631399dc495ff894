package petrelplank.routing;

/** Which endpoints drop the repeats of a request with a key. */
public enum IdempotencyScope {
    /** All of them. */
    ALL,
    /** Those of one zone. */
    ZONE,
    /** Those of one cell. */
    CELL
}
