package petrelplank.proxy;

/**
 * The final response to a client.
 *
 * @param kind the outcome
 * @param body the bytes of the part; empty where there are none
 * @param retryAfterMs for rejected requests: when the client should come back; 0 for no advice
 */
public record ClientResponse(Kind kind, byte[] body, long retryAfterMs) {
    private static final byte[] NO_BODY = new byte[0];

    /** The outcome of a request. */
    public enum Kind {
        /** The bytes of the part. */
        SERVED("served"),
        /** The client's own copy is current. */
        NOT_MODIFIED("still"),
        /** Nothing was executed; a retry is harmless. */
        REJECTED("refused"),
        /** Not served; it may have been executed. */
        FAILED("failed"),
        /** The request is malformed; nothing was executed, and a retry won't help. */
        BAD_REQUEST("bad_request");

        private final String label;

        Kind(String label) {
            this.label = label;
        }

        /**
         * The name in counts.
         *
         * @return a word in lower case
         */
        public String label() {
            return label;
        }
    }

    static ClientResponse served(byte[] body) {
        return new ClientResponse(Kind.SERVED, body, 0);
    }

    /**
     * A response without a body.
     *
     * @param kind the outcome
     * @return the response
     */
    public static ClientResponse of(Kind kind) {
        return new ClientResponse(kind, NO_BODY, 0);
    }

    /**
     * The response to a request that is rejected.
     *
     * @param retryAfterMs when the client should come back; 0 for no advice
     * @return the response
     */
    public static ClientResponse rejected(long retryAfterMs) {
        return new ClientResponse(Kind.REJECTED, NO_BODY, retryAfterMs);
    }
}
