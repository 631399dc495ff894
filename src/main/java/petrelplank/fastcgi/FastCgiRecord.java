package petrelplank.fastcgi;

/**
 * A FastCGI record. The constants are defined by the FastCGI specification.
 *
 * @param type the record type, one of the constants
 * @param id the id of the request on this connection; {@link #NULL_REQUEST_ID} for management records
 * @param content the content, without padding
 */
record FastCgiRecord(int type, int id, byte[] content) {
    /** The only protocol version. */
    static final int VERSION = 1;
    /** Length of the header of a record, in bytes. */
    static final int HEADER_LENGTH = 8;
    /** Id in management records, which belong to the connection and not to a request. */
    static final int NULL_REQUEST_ID = 0;

    static final int BEGIN_REQUEST = 1;
    static final int ABORT_REQUEST = 2;
    static final int END_REQUEST = 3;
    static final int PARAMS = 4;
    static final int STDIN = 5;
    static final int STDOUT = 6;
    static final int STDERR = 7;
    static final int DATA = 8;
    static final int GET_VALUES = 9;
    static final int GET_VALUES_RESULT = 10;
    static final int UNKNOWN_TYPE = 11;

    /** Content length of BEGIN_REQUEST, END_REQUEST and UNKNOWN_TYPE, in bytes. */
    static final int FIXED_BODY_LENGTH = 8;
    /** Role in BEGIN_REQUEST of an application that generates the response. */
    static final int ROLE_RESPONDER = 1;
    /** Flag in BEGIN_REQUEST: the connection stays open after the response. */
    static final int FLAG_KEEP_CONNECTION = 1;

    /** Protocol status in END_REQUEST: how a request ended. */
    enum ProtocolStatus {
        REQUEST_COMPLETE(0),
        OVERLOADED(2),
        UNKNOWN_ROLE(3);

        private final int code;

        ProtocolStatus(int code) {
            this.code = code;
        }

        /** The number that is sent in END_REQUEST. */
        int code() {
            return code;
        }
    }

    /** Whether records of this type carry parts of a stream, whatever their lengths, and an empty one ends it. */
    static boolean isStream(int type) {
        return type >= PARAMS && type <= DATA;
    }

    /** Whether the record belongs to the connection and not to a request. */
    boolean isManagement() {
        return id == NULL_REQUEST_ID;
    }

    /** Whether the record has no content; such a record ends a stream. */
    boolean isEmpty() {
        return content.length == 0;
    }
}
