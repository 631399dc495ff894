package petrelplank.record;

/** The response that a client received. The order of the constants is their order in the schema of record files. */
@StoredName("Final")
public enum ResponseKind {
    /** The object was sent to the client. */
    @StoredName("SERVED")
    SERVED,
    /** The client's own copy is still valid. */
    @StoredName("STILL")
    NOT_MODIFIED,
    /** The request was rejected and certainly not executed, so the client may retry it. */
    @StoredName("REFUSED")
    REJECTED,
    /** The request failed and may have been executed. */
    @StoredName("FAILED")
    FAILED,
    /** The request was malformed. */
    @StoredName("BAD_REQUEST")
    BAD_REQUEST
}
