package petrelplank.fastcgi;

import java.util.logging.Logger;
import petrelplank.proxy.SampledCounter;

/** Counts client connections that the proxy closed, by reason, and logs a sample. Used by the event thread only. */
final class ConnectionCloseLog {
    private static final Logger LOG = Logger.getLogger(ConnectionCloseLog.class.getName());
    /** Faulty clients may send at full speed: logging each fault would take CPU and memory from other clients. */
    private static final int LOG_EVERY_NTH = 250;

    private static final long US_PER_S = 1_000_000;

    private final int maxConnections;
    private final SampledCounter malformedInputs = new SampledCounter(LOG_EVERY_NTH);
    private final SampledCounter slowReaders = new SampledCounter(LOG_EVERY_NTH);
    private final SampledCounter evictions = new SampledCounter(LOG_EVERY_NTH);
    private long idleCloses;
    private long delayedCloses;

    /** Creates a log; {@code maxConnections} is the maximum number of client connections. */
    ConnectionCloseLog(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Counts a connection that was closed because the client's input violated the protocol. */
    void countMalformedInput(ProtocolViolationException violation) {
        if (malformedInputs.count()) {
            LOG.warning("client connection closed after malformed FastCGI input: " + violation.getMessage() + "; "
                    + malformedInputs.total() + " closed for this reason so far");
        }
    }

    /** Counts a connection that was closed because the client left too many response bytes unread. */
    void countOverUnreadLimit(ResponseDelivery delivery) {
        countSlowReader(delivery, "over the limit of unread responses");
    }

    private void countSlowReader(ResponseDelivery delivery, String limit) {
        if (slowReaders.count()) {
            LOG.warning("client connection from " + delivery.peer()
                    + " closed because the client does not read its responses: " + delivery.undeliveredBytes()
                    + " bytes unread, " + limit + "; " + slowReaders.total() + " closed for this reason so far");
        }
    }

    /** Counts a connection that was closed while it had no open request. */
    void countIdleClose(IdleConnectionCloser.Reason reason, ResponseDelivery delivery) {
        switch (reason) {
            case IDLE -> idleCloses++;
            case CONNECTION_LIMIT -> countEviction();
            case STALLED -> countSlowReader(delivery, "none taken for " + delivery.stalledForUs() / US_PER_S + " s");
        }
    }

    private void countEviction() {
        if (evictions.count()) {
            LOG.warning("least recently used client connection closed near the limit of " + maxConnections
                    + " connections; " + evictions.total() + " closed for this reason so far");
        }
    }

    /** Counts a connection that timed out or is to make room, and is kept until its responses are delivered. */
    void countDelayedClose() {
        delayedCloses++;
    }

    /** Returns the counts as one line of text. */
    String counts() {
        return "closed for malformed input " + malformedInputs.total() + ", for unread responses " + slowReaders.total()
                + ", near the connection limit " + evictions.total() + ", when idle or timed out " + idleCloses
                + ", kept open for undelivered responses " + delayedCloses;
    }
}
