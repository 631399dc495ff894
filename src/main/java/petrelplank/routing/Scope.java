package petrelplank.routing;

/** Which servers drop the repeats of a keyed request. */
public enum Scope {
    /** All of them. */
    ALL,
    /** Those of one zone. */
    ZONE,
    /** Those of one cell. */
    CELL
}
