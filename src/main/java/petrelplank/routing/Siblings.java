package petrelplank.routing;

/** Which caches may be the source of a fill. */
public enum Siblings {
    /** None. */
    NONE,
    /** Those of the own zone. */
    OWN_ZONE,
    /** Any. */
    ANY
}
