package petrelplank.upstream;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Ids under which a connection must carry no further attempt: a late or doubled response to the earlier one would
 * pass for the response to the new one. Event thread only.
 */
final class RequestIdHistory {
    /** Answered ids that are kept: a doubled response comes some milliseconds behind the first. */
    private static final int MAX_ANSWERED = 256;

    private final Set<String> aborted = new HashSet<>();
    /** Oldest first. */
    private final Set<String> answered = new LinkedHashSet<>();

    /** Keeps the id of an aborted attempt, whose response may still come. */
    void addAborted(String requestId) {
        aborted.add(requestId);
    }

    /** How many aborted ids are kept; they are never dropped, so the connection has to be retired at some number. */
    int abortedCount() {
        return aborted.size();
    }

    /** Keeps the id of an answered attempt, in place of the oldest where there are too many. */
    void addAnswered(String requestId) {
        if (answered.add(requestId) && answered.size() > MAX_ANSWERED) {
            answered.remove(answered.iterator().next());
        }
    }

    boolean contains(String requestId) {
        return aborted.contains(requestId) || answered.contains(requestId);
    }
}
