package petrelplank.routing;

/** Whether requests of a class may run more than once. */
public enum Idempotency {
    /** They may, any number of times. */
    IDEMPOTENT,
    /** Repeats with the same key are dropped inside a scope of endpoints and a window of time. */
    IDEMPOTENT_WITH_KEY,
    /** They may not: a retry needs proof that no earlier attempt has run. */
    NON_IDEMPOTENT
}
