package petrelplank.upstream;

/** Thrown when an upstream server sent bytes that are not a valid response. Its connection can't be used any more. */
final class MalformedResponseException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The protocol rule that the received bytes violate. */
    enum Reason {
        LINE_TOO_LONG("header line is longer than " + ResponseParser.MAX_HEADER_LINE_BYTES + " bytes"),
        LINE_WITHOUT_CR("header line does not end with CR LF"),
        WRONG_WORD_COUNT("header line must have 4 words, number of words found"),
        EMPTY_REQUEST_ID("empty request id in the header line"),
        UNKNOWN_STATUS("unknown status word in the header line"),
        FIELD_WITHOUT_VALUE("header field is not of the form name=value"),
        NOT_A_FINITE_NUMBER("header field is not a finite decimal number"),
        INVALID_BODY_LENGTH("body length is not a whole number from 0 to " + ResponseParser.MAX_BODY_BYTES),
        BODY_NOT_TERMINATED("body is not followed by CR LF"),
        TOO_MANY_RESPONSES(
                "more responses wait than there can be open requests, and memory is short, number that waits");

        private final String description;

        Reason(String description) {
            this.description = description;
        }
    }

    private final Reason reason;

    MalformedResponseException(Reason reason) {
        super(reason.description);
        this.reason = reason;
    }

    /**
     * Creates an exception with a detail that is appended to the message.
     *
     * @param reason the violated rule
     * @param detail the name of the invalid field, or the invalid count; never text received from the server, which
     *     could be of any length
     */
    MalformedResponseException(Reason reason, String detail) {
        super(reason.description + ": " + detail);
        this.reason = reason;
    }

    Reason reason() {
        return reason;
    }
}
