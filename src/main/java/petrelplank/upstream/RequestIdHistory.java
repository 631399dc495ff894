package petrelplank.upstream;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Ids of requests of which no further attempt may be sent on a connection: a late or duplicate response to the earlier
 * attempt would be taken for the response to the new one. Event thread only.
 */
final class RequestIdHistory {
    /** Maximum number of answered ids kept; a duplicate response follows the first within a few milliseconds. */
    private static final int MAX_ANSWERED = 256;

    private final Set<String> aborted = new HashSet<>();
    /** In insertion order, oldest first. */
    private final Set<String> answered = new LinkedHashSet<>();

    /** Adds the id of an aborted attempt, whose response may still arrive. */
    void addAborted(String requestId) {
        aborted.add(requestId);
    }

    /** Returns the number of aborted ids. They are never dropped, so the connection must be retired at some number. */
    int abortedCount() {
        return aborted.size();
    }

    /** Adds the id of an answered attempt, and drops the oldest answered id if there are too many. */
    void addAnswered(String requestId) {
        if (answered.add(requestId) && answered.size() > MAX_ANSWERED) {
            answered.remove(answered.iterator().next());
        }
    }

    boolean contains(String requestId) {
        return aborted.contains(requestId) || answered.contains(requestId);
    }
}
