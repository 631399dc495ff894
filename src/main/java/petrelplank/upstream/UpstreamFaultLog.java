package petrelplank.upstream;

import java.util.logging.Logger;
import petrelplank.proxy.SampledCounter;

/** Counts protocol faults of upstream servers and logs a sample of each kind. Event thread only. */
final class UpstreamFaultLog {
    private static final Logger LOG = Logger.getLogger(UpstreamFaultLog.class.getName());
    /** Of each kind of fault, one in this many is logged, starting with the first. */
    private static final int LOGGED_ONE_IN = 25;

    private final SampledCounter malformedResponses = new SampledCounter(LOGGED_ONE_IN);
    private final SampledCounter incompleteResponses = new SampledCounter(LOGGED_ONE_IN);
    private final SampledCounter nonReadingConnections = new SampledCounter(LOGGED_ONE_IN);
    private long unsolicitedResponses;

    /** Called when a server sent bytes that are not a valid response. */
    void malformedResponse(String server, MalformedResponseException exception) {
        if (malformedResponses.count()) {
            LOG.warning("malformed response from server " + server + ", connection closed: " + exception.getMessage()
                    + "; malformed responses from all servers so far: " + malformedResponses.total());
        }
    }

    /** Called when the rest of a partly received response does not arrive. */
    void incompleteResponse(String server) {
        if (incompleteResponses.count()) {
            LOG.warning("incomplete response from server " + server
                    + ", connection closed; incomplete responses from all servers so far: "
                    + incompleteResponses.total());
        }
    }

    /** Called when a server does not read what it is sent. */
    void serverNotReading(String server) {
        if (nonReadingConnections.count()) {
            LOG.warning("server " + server
                    + " does not read, connection closed; connections to all servers closed for this so far: "
                    + nonReadingConnections.total());
        }
    }

    /** Called when a response was received for which no attempt is open. */
    void unsolicitedResponse() {
        unsolicitedResponses++;
    }

    /** Returns all counts in one line, for the log. */
    String counts() {
        return "malformed responses " + malformedResponses.total() + ", incomplete responses "
                + incompleteResponses.total()
                + ", connections closed because the server did not read " + nonReadingConnections.total()
                + ", unsolicited responses "
                + unsolicitedResponses;
    }
}
