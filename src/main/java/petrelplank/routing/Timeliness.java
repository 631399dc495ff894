package petrelplank.routing;

/** The outcome of an attempt compared with the latency objective of its request. */
enum Timeliness {
    /** A response within the objective. */
    IN_TIME,
    /** A response after the objective. */
    LATE,
    /** A time-out before the hedge delay: usual response times explain the missing response. */
    EARLY_TIMEOUT,
    /** No response, for a reason other than load. */
    FAILED
}
