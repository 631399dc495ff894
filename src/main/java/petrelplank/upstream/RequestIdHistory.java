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
    private static final int MAX_ANSWERED_IDS = 256;

    private final Set<String> abortedIds = new HashSet<>();
    /** In insertion order, oldest first. */
    private final Set<String> answeredIds = new LinkedHashSet<>();

    /** Adds the id of an aborted attempt, whose response may still arrive. */
    void addAborted(String requestId) {
        abortedIds.add(requestId);
    }

    /** Returns the number of aborted ids. They are never dropped, so the connection must be retired at some number. */
    int abortedCount() {
        return abortedIds.size();
    }

    /** Adds the id of an answered attempt, and drops the oldest answered id if there are too many. */
    void addAnswered(String requestId) {
        if (answeredIds.add(requestId) && answeredIds.size() > MAX_ANSWERED_IDS) {
            answeredIds.remove(answeredIds.iterator().next());
        }
    }

    boolean contains(String requestId) {
        return abortedIds.contains(requestId) || answeredIds.contains(requestId);
    }
}
