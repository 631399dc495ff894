package petrelplank.upstream;

import java.util.logging.Logger;

/** Counts faults of upstream servers, and logs one in some of them. Event thread only. */
final class UpstreamFaultLog {
    private static final Logger LOG = Logger.getLogger(UpstreamFaultLog.class.getName());
    private static final int LOGGED_ONE_IN = 25;

    private long malformed;
    private long incomplete;
    private long notReading;
    private long unsolicited;

    /** A server sent bytes that are not a response. */
    void malformed(String server, MalformedException fault) {
        if (malformed++ % LOGGED_ONE_IN == 0) {
            LOG.warning("malformed response from " + server + ", connection closed: " + fault.getMessage() + ", "
                    + malformed + " so far");
        }
    }

    /** A response stopped before its end. */
    void incompleteResponse(String server) {
        if (incomplete++ % LOGGED_ONE_IN == 0) {
            LOG.warning("incomplete response from " + server + ", connection closed, " + incomplete + " so far");
        }
    }

    /** A server reads nothing of what it is sent. */
    void notReading(String server) {
        if (notReading++ % LOGGED_ONE_IN == 0) {
            LOG.warning(server + " does not read, connection closed, " + notReading + " so far");
        }
    }

    /** A response came that no attempt waits for. */
    void unsolicitedResponse() {
        unsolicited++;
    }

    /** The counts in one line. */
    String counts() {
        return "malformed " + malformed + ", incomplete " + incomplete + ", not reading " + notReading
                + ", unsolicited responses " + unsolicited;
    }
}
