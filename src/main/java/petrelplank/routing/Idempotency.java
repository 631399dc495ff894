package petrelplank.routing;

/** Whether requests of a service class may be executed more than once. */
public enum Idempotency {
    /** A request may be executed any number of times. */
    IDEMPOTENT,
    /** Endpoints drop repeats with the same idempotency key, within a scope of endpoints and a time window. */
    IDEMPOTENT_WITH_KEY,
    /** A request may be executed only once: a retry needs proof that no earlier attempt was executed. */
    NON_IDEMPOTENT
}
