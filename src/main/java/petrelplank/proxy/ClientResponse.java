package petrelplank.proxy;

/**
 * The response to a client's request.
 *
 * @param kind the outcome
 * @param body the bytes of the part; empty if the response has no body
 * @param retryAfterMs for rejected requests, how long the client should wait before it retries; 0 to send no advice
 */
public record ClientResponse(Kind kind, byte[] body, long retryAfterMs) {
    private static final byte[] NO_BODY = new byte[0];

    /** The outcome of a request. */
    public enum Kind {
        /** The response has the bytes of the part. */
        SERVED("served"),
        /** The copy that the client has is current. */
        NOT_MODIFIED("still"),
        /** The request was not executed; a retry is safe. */
        REJECTED("refused"),
        /** The request was not served, but may have been executed. */
        FAILED("failed"),
        /** The request is malformed. It was not executed, and a retry would get the same response. */
        BAD_REQUEST("bad_request");

        private final String label;

        Kind(String label) {
            this.label = label;
        }

        /**
         * The name of the outcome in logged counts.
         *
         * @return the name, in lower case
         */
        public String label() {
            return label;
        }
    }

    static ClientResponse served(byte[] body) {
        return new ClientResponse(Kind.SERVED, body, 0);
    }

    /**
     * Creates a response without a body.
     *
     * @param kind the outcome
     * @return the response
     */
    public static ClientResponse of(Kind kind) {
        return new ClientResponse(kind, NO_BODY, 0);
    }

    /**
     * Creates the response to a rejected request.
     *
     * @param retryAfterMs how long the client should wait before it retries; 0 to send no advice
     * @return the response
     */
    public static ClientResponse rejected(long retryAfterMs) {
        return new ClientResponse(Kind.REJECTED, NO_BODY, retryAfterMs);
    }
}
