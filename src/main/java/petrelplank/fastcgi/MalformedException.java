package petrelplank.fastcgi;

/** A client's bytes violate the FastCGI protocol; the connection can't be used further. */
final class MalformedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The rule that was violated. */
    enum Violation {
        UNSUPPORTED_VERSION("version"),
        INVALID_BEGIN_REQUEST("length of a BEGIN_REQUEST"),
        DUPLICATE_REQUEST_ID("a second BEGIN_REQUEST for an open id"),
        PARAMS_AFTER_END("parameters after their end"),
        STDIN_BEFORE_PARAMS_END("a body before the end of the parameters"),
        STREAM_TOO_LONG("a stream over its limit in bytes"),
        TRUNCATED_LENGTH("parameters end inside a length"),
        TRUNCATED_VALUE("parameters end inside a value");

        private final String description;

        Violation(String description) {
            this.description = description;
        }
    }

    private final Violation violation;

    MalformedException(Violation violation) {
        super(violation.description);
        this.violation = violation;
    }

    /** With the number found, or the limit exceeded. */
    MalformedException(Violation violation, int value) {
        super(violation.description + ": " + value);
        this.violation = violation;
    }

    Violation violation() {
        return violation;
    }
}
