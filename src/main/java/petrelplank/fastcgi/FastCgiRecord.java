package petrelplank.fastcgi;

/**
 * One FastCGI record; the constants are numbers of the protocol.
 *
 * @param type its type, see the constants
 * @param id the request that it belongs to; {@link #MANAGEMENT_ID} for the connection itself
 * @param content its content, without padding
 */
record FastCgiRecord(int type, int id, byte[] content) {
    /** The only version of the protocol. */
    static final int VERSION = 1;
    /** Bytes before a record's content. */
    static final int HEADER_LENGTH = 8;
    /** Id of the records that belong to the connection and to no request. */
    static final int MANAGEMENT_ID = 0;

    static final int BEGIN_REQUEST = 1;
    static final int ABORT_REQUEST = 2;
    static final int END_REQUEST = 3;
    static final int PARAMS = 4;
    static final int STDIN = 5;
    static final int STDOUT = 6;
    static final int GET_VALUES = 9;
    static final int GET_VALUES_RESULT = 10;
    static final int UNKNOWN_TYPE = 11;

    /** Length of the content of BEGIN_REQUEST, END_REQUEST and UNKNOWN_TYPE. */
    static final int FIXED_BODY_LENGTH = 8;
    /** In BEGIN_REQUEST: the role of an application that makes the response. */
    static final int ROLE_RESPONDER = 1;
    /** In BEGIN_REQUEST, a flag: the connection stays open after the response. */
    static final int FLAG_KEEP_CONNECTION = 1;

    /** How a request ended, as END_REQUEST says it. */
    enum ProtocolStatus {
        REQUEST_COMPLETE(0),
        OVERLOADED(2),
        UNKNOWN_ROLE(3);

        private final int code;

        ProtocolStatus(int code) {
            this.code = code;
        }

        /** The number on the wire. */
        int code() {
            return code;
        }
    }

    /** Whether it belongs to the connection itself. */
    boolean isManagement() {
        return id == MANAGEMENT_ID;
    }

    /** Whether it has no content, which ends a stream. */
    boolean isEmpty() {
        return content.length == 0;
    }
}
