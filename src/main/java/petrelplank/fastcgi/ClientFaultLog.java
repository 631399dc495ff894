package petrelplank.fastcgi;

import java.util.logging.Logger;
import petrelplank.transport.DescriptorBudget;

/** Counts what goes wrong on the clients' side, and tells of it in few lines. Event thread only. */
final class ClientFaultLog {
    private static final Logger LOG = Logger.getLogger(FastCgiAcceptor.class.getName());
    /** Bad clients send at full speed: a line for each would cost CPU and memory that good ones need. */
    private static final int LOGGED_ONE_IN = 250;

    private final DescriptorBudget share;
    private long malformed;
    private long slow;
    private long crowded;
    private long silent;

    ClientFaultLog(DescriptorBudget share) {
        this.share = share;
    }

    /** Bytes that make no record. */
    void malformed(String what) {
        if (malformed++ % LOGGED_ONE_IN == 0) {
            LOG.warning("malformed record from a client, connection closed: " + what + ", " + malformed + " so far");
        }
    }

    /** Too much stood unread. */
    void slow() {
        if (slow++ % LOGGED_ONE_IN == 0) {
            LOG.warning("a client does not read, connection closed, " + slow + " so far");
        }
    }

    /** A connection was asked to leave, and has closed. */
    void left(boolean forRoom) {
        if (!forRoom) {
            silent++;
        } else if (crowded++ % LOGGED_ONE_IN == 0) {
            LOG.warning(
                    "near " + share.capacity() + " client connections, the quietest closed, " + crowded + " so far");
        }
    }

    /** One line of counts. */
    String counts() {
        return "malformed " + malformed + ", slow " + slow + ", over the limit " + crowded + ", silent or idle "
                + silent;
    }
}
