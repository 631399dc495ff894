package petrelplank.fastcgi;

import java.util.logging.Logger;

/** Counts client connections that the proxy closed, by reason, and logs a sample. Used by the event thread only. */
final class ConnectionCloseLog {
    private static final Logger LOG = Logger.getLogger(ConnectionCloseLog.class.getName());
    /** Faulty clients may send at full speed: logging each fault would take CPU and memory from other clients. */
    private static final int LOG_ONE_IN = 250;

    private final int maxConnections;
    private long malformed;
    private long slowReaders;
    private long evicted;
    private long idle;

    /** Creates a log; {@code maxConnections} is the maximum number of client connections. */
    ConnectionCloseLog(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Counts a connection that was closed because the client's input violated the protocol. */
    void malformed(ProtocolViolationException violation) {
        if (malformed++ % LOG_ONE_IN == 0) {
            LOG.warning("client connection closed after malformed FastCGI input: " + violation.getMessage() + "; "
                    + malformed + " closed for this reason so far");
        }
    }

    /** Counts a connection that was closed because the client left too many response bytes unread. */
    void slowReader() {
        if (slowReaders++ % LOG_ONE_IN == 0) {
            LOG.warning("client connection closed because the client does not read its responses; " + slowReaders
                    + " closed for this reason so far");
        }
    }

    /** Counts a connection that was closed while it had no open request. */
    void closed(IdleConnectionCloser.Reason reason) {
        if (reason == IdleConnectionCloser.Reason.IDLE) {
            idle++;
        } else if (evicted++ % LOG_ONE_IN == 0) {
            LOG.warning("least recently used client connection closed near the limit of " + maxConnections
                    + " connections; " + evicted + " closed for this reason so far");
        }
    }

    /** Returns the counts as one line of text. */
    String counts() {
        return "closed for malformed input " + malformed + ", for unread responses " + slowReaders
                + ", near the connection limit " + evicted + ", when idle or timed out " + idle;
    }
}
