package petrelplank.fastcgi;

import java.util.logging.Logger;

/** Counts faults of clients and closes of their connections, and logs few of them. Event thread only. */
final class ClientFaultLog {
    private static final Logger LOG = Logger.getLogger(ClientFaultLog.class.getName());
    /** Faulty clients send at full speed: a line for each would cost CPU and memory that good ones need. */
    private static final int LOG_ONE_IN = 250;

    private final int maxConnections;
    private long malformed;
    private long slowReaders;
    private long evicted;
    private long idle;

    /** A log; {@code maxConnections} are the most connections that clients may hold. */
    ClientFaultLog(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** A client's bytes violated the protocol. */
    void malformed(MalformedException violation) {
        if (malformed++ % LOG_ONE_IN == 0) {
            LOG.warning("malformed FastCGI record from a client, connection closed: " + violation.getMessage() + ", "
                    + malformed + " so far");
        }
    }

    /** A connection was closed since too much stood unread on it. */
    void slowReader() {
        if (slowReaders++ % LOG_ONE_IN == 0) {
            LOG.warning("client does not read its responses, connection closed, " + slowReaders + " so far");
        }
    }

    /** A connection that nothing was open on was closed. */
    void closed(IdleClose.Reason reason) {
        if (reason == IdleClose.Reason.IDLE) {
            idle++;
        } else if (evicted++ % LOG_ONE_IN == 0) {
            LOG.warning("near the limit of " + maxConnections + " client connections, least recently used one closed, "
                    + evicted + " so far");
        }
    }

    /** One line of counts. */
    String counts() {
        return "malformed " + malformed + ", slow readers " + slowReaders + ", evicted near the limit " + evicted
                + ", idle " + idle;
    }
}
