package petrelplank.routing;

/** How much the answers tell; see {@link Note}. */
public enum Notes {
    /** Nothing. */
    NONE,
    /** Hits and fills, not failures. */
    HITS,
    /** Everything, with the wait for the source. */
    ALL
}
