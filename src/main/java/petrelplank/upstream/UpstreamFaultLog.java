package petrelplank.upstream;

import java.util.logging.Logger;

/** Counts what goes wrong on the servers' side, and tells of it in few lines. Event thread only. */
final class UpstreamFaultLog {
    private static final Logger LOG = Logger.getLogger(UpstreamConnectionPool.class.getName());
    private static final int LOGGED_ONE_IN = 25;

    private long malformed;
    private long stuck;
    private long blocked;
    private long unknown;

    /** Bytes that make no answer. */
    void malformed(String server, String what) {
        if (malformed++ % LOGGED_ONE_IN == 0) {
            LOG.warning(
                    "malformed answer from " + server + ", connection closed: " + what + ", " + malformed + " so far");
        }
    }

    /** An answer that stopped within. */
    void stuck(String server) {
        if (stuck++ % LOGGED_ONE_IN == 0) {
            LOG.warning("an answer from " + server + " stopped short, connection closed, " + stuck + " so far");
        }
    }

    /** A server that reads nothing of what it is written. */
    void blocked(String server) {
        if (blocked++ % LOGGED_ONE_IN == 0) {
            LOG.warning(server + " reads nothing, connection closed, " + blocked + " so far");
        }
    }

    /** An answer that nobody waits for. */
    void unasked() {
        unknown++;
    }

    /** One line of counts. */
    String counts() {
        return "malformed " + malformed + ", stopped short " + stuck + ", blocked " + blocked + ", unasked answers "
                + unknown;
    }
}
