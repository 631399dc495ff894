package petrelplank.proxy;

/**
 * A final answer to a client.
 *
 * @param kind what it says
 * @param body the bytes of the part; empty where there are none
 * @param retryAfterMs for refusals: how long to stay away; 0 for no advice
 */
public record ClientResponse(Kind kind, byte[] body, long retryAfterMs) {
    private static final byte[] NOTHING = new byte[0];

    /** What an answer says. */
    public enum Kind {
        /** The bytes of the part. */
        SERVED("served"),
        /** The client's own copy is the one that would be served. */
        NOT_MODIFIED("still"),
        /** Nothing may have run; trying again is harmless. */
        REJECTED("refused"),
        /** Not served, with no promise. */
        FAILED("failed"),
        /** The request can't be understood; nothing ran, and trying again won't help. */
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
     * An answer without bytes.
     *
     * @param kind what it says
     * @return the answer
     */
    public static ClientResponse of(Kind kind) {
        return new ClientResponse(kind, NOTHING, 0);
    }

    /**
     * A refusal.
     *
     * @param retryAfterMs how long the client shall stay away; 0 for no advice
     * @return the answer
     */
    public static ClientResponse refused(long retryAfterMs) {
        return new ClientResponse(Kind.REJECTED, NOTHING, retryAfterMs);
    }
}
