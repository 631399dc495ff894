package petrelplank.fastcgi;

/** Thrown when input from a client violates the FastCGI protocol; the connection must not be read any further. */
final class ProtocolViolationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The protocol rule that was violated. */
    enum Violation {
        UNSUPPORTED_VERSION("unsupported FastCGI version, should be 1"),
        INVALID_BEGIN_REQUEST("BEGIN_REQUEST of the wrong length, should be 8 bytes"),
        DUPLICATE_REQUEST_ID("BEGIN_REQUEST with the id of a request that is still open"),
        PARAMS_AFTER_END("PARAMS record after the end of the PARAMS stream"),
        STDIN_BEFORE_PARAMS_END("end of the STDIN stream before the end of the PARAMS stream"),
        STREAM_TOO_LONG("PARAMS or STDIN stream is longer than its limit in bytes"),
        CONTROL_RECORD_TOO_LONG("record outside of a stream is longer than any of its kind, in bytes"),
        TRUNCATED_LENGTH("name-value pairs end inside the length of a name or value"),
        TRUNCATED_VALUE("name-value pairs end inside a name or value");

        private final String description;

        Violation(String description) {
            this.description = description;
        }
    }

    private final Violation violation;

    ProtocolViolationException(Violation violation) {
        super(violation.description);
        this.violation = violation;
    }

    /**
     * Creates an exception with a number in its message.
     *
     * @param violation the rule that was violated
     * @param value the number that was found; for {@link Violation#STREAM_TOO_LONG} the limit
     */
    ProtocolViolationException(Violation violation, int value) {
        super(violation.description + ": " + value);
        this.violation = violation;
    }

    Violation violation() {
        return violation;
    }
}
