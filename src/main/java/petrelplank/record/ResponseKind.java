package petrelplank.record;

/** The outcome of a request as its client saw it; the order of the constants is the order in the file's schema. */
@StoredName("Final")
public enum ResponseKind {
    /** The object was sent. */
    @StoredName("SERVED")
    SERVED,
    /** The client's own copy is still valid. */
    @StoredName("STILL")
    NOT_MODIFIED,
    /** Certainly not executed: the client may retry. */
    @StoredName("REFUSED")
    REJECTED,
    /** Failed; it may have been executed. */
    @StoredName("FAILED")
    FAILED,
    /** The request was malformed. */
    @StoredName("BAD_REQUEST")
    BAD_REQUEST
}
