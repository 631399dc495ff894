package petrelplank.fastcgi;

/**
 * One FastCGI record.
 *
 * @param type its type, see the constants
 * @param id the request it belongs to; 0 for the connection itself
 * @param content its content, without padding
 */
record FastCgiRecord(int type, int id, byte[] content) {
    static final int BEGIN_REQUEST = 1;
    static final int ABORT_REQUEST = 2;
    static final int END_REQUEST = 3;
    static final int PARAMS = 4;
    static final int STDIN = 5;
    static final int STDOUT = 6;
    static final int DATA = 8;
    static final int GET_VALUES = 9;
    static final int GET_VALUES_RESULT = 10;
    static final int UNKNOWN_TYPE = 11;

    static final int REQUEST_COMPLETE = 0;
    static final int CANT_MPX_CONN = 1;
    static final int OVERLOADED = 2;
    static final int UNKNOWN_ROLE = 3;
    static final int RESPONDER = 1;
    static final int KEEP_CONN = 1;
}
