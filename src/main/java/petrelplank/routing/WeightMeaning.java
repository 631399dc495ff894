package petrelplank.routing;

/** What an endpoint's weight means. */
public enum WeightMeaning {
    /** Weights have no meaning: all endpoints count as equal. */
    NONE,
    /** The capacity of the endpoint's outgoing link, in concurrent responses at full rate. */
    NOMINAL,
    /** The same, but only approximately. */
    ROUGH,
    /** The same, divided by the endpoint's load some time ago. */
    LIVE
}
