package petrelplank.routing;

/** Which other caches may be the source of a cache's fill. */
public enum SiblingFillPolicy {
    /** None. */
    NONE,
    /** Caches in the proxy's zone. */
    OWN_ZONE,
    /** Any cache. */
    ANY
}
