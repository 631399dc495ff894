package petrelplank.routing;

/** Which caches may be the source of a fill. */
public enum SiblingFillPolicy {
    /** No cache. */
    NONE,
    /** Caches of the gateway's zone. */
    OWN_ZONE,
    /** Any cache. */
    ANY
}
