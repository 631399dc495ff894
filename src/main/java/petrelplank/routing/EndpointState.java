package petrelplank.routing;

/** The state of a listed endpoint. */
public enum EndpointState {
    /** Running. */
    UP,
    /** Completes its requests in flight and takes no new ones. */
    DRAINING,
    /** No longer listed. */
    REMOVED
}
