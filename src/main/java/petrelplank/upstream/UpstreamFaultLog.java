package petrelplank.upstream;

import java.util.logging.Logger;

/** Counts protocol faults of upstream servers and logs a sample of each kind. Event thread only. */
final class UpstreamFaultLog {
    private static final Logger LOG = Logger.getLogger(UpstreamFaultLog.class.getName());
    /** Of each kind of fault, the first and then every 25th are logged. */
    private static final int LOGGED_ONE_IN = 25;

    private long malformed;
    private long incomplete;
    private long notReading;
    private long unsolicited;

    /** Called when a server sent bytes that are not a valid response. */
    void malformed(String server, MalformedException fault) {
        if (malformed++ % LOGGED_ONE_IN == 0) {
            LOG.warning("malformed response from server " + server + ", connection closed: " + fault.getMessage()
                    + "; malformed responses from all servers so far: " + malformed);
        }
    }

    /** Called when the rest of a partly received response does not arrive. */
    void incompleteResponse(String server) {
        if (incomplete++ % LOGGED_ONE_IN == 0) {
            LOG.warning("incomplete response from server " + server
                    + ", connection closed; incomplete responses from all servers so far: " + incomplete);
        }
    }

    /** Called when a server does not read what it is sent. */
    void notReading(String server) {
        if (notReading++ % LOGGED_ONE_IN == 0) {
            LOG.warning("server " + server
                    + " does not read, connection closed; connections to all servers closed for this so far: "
                    + notReading);
        }
    }

    /** Called when a response was received for which no attempt is open. */
    void unsolicitedResponse() {
        unsolicited++;
    }

    /** Returns all counts in one line, for the log. */
    String counts() {
        return "malformed responses " + malformed + ", incomplete responses " + incomplete
                + ", connections closed because the server did not read " + notReading + ", unsolicited responses "
                + unsolicited;
    }
}
