package petrelplank.routing;

/** How far a class may be repeated. */
public enum Repeat {
    /** Any number of times. */
    FREE,
    /** Inside its group of servers and its window only. */
    KEYED,
    /** Only when no earlier attempt can have run. */
    NEVER
}
