package petrelplank.upstream;

/** An upstream server sent bytes that are not a response; its connection can't be used further. */
final class MalformedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The rule of the protocol that the bytes break. */
    enum Reason {
        LINE_TOO_LONG("header line longer than " + ResponseParser.MAX_LINE_LENGTH + " bytes"),
        LINE_WITHOUT_CR("header line without CR"),
        WRONG_WORD_COUNT("wrong number of words in the header line"),
        EMPTY_REQUEST_ID("empty request id"),
        UNKNOWN_STATUS("unknown status word"),
        FIELD_WITHOUT_VALUE("field without a value"),
        NOT_A_FINITE_NUMBER("field that is not a finite number"),
        INVALID_BODY_LENGTH("body length that is not a number up to " + ResponseParser.MAX_BODY_LENGTH),
        BODY_NOT_TERMINATED("body not followed by CR LF");

        private final String description;

        Reason(String description) {
            this.description = description;
        }
    }

    private final Reason reason;

    MalformedException(Reason reason) {
        super(reason.description);
        this.reason = reason;
    }

    /**
     * An exception that names the place.
     *
     * @param place the field or count at fault; never text of the server, which could be of any length
     */
    MalformedException(Reason reason, String place) {
        super(reason.description + ": " + place);
        this.reason = reason;
    }

    Reason reason() {
        return reason;
    }
}
