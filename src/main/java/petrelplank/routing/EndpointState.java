package petrelplank.routing;

/** The state of a listed endpoint. */
public enum EndpointState {
    /** Running. */
    UP,
    /** Finishes its requests; takes no new ones. */
    DRAINING,
    /** No longer listed. */
    REMOVED
}
