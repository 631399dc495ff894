package petrelplank.routing;

/** How an attempt ended against the latency objective of its request. */
enum Timeliness {
    /** A response within the objective. */
    IN_TIME,
    /** A response beyond the objective. */
    LATE,
    /** A time-out so early that usual response times explain it. */
    EXPIRED,
    /** No response, for another reason than load. */
    FAILED
}
