package petrelplank.routing;

/** What an endpoint's weight means. */
public enum WeightMeaning {
    /** Nothing: all endpoints are alike. */
    NONE,
    /** The capacity of its outgoing link, in responses at full pace. */
    NOMINAL,
    /** The same, roughly. */
    ROUGH,
    /** The same over its load some time ago. */
    LIVE
}
