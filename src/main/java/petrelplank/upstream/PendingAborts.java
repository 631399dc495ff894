package petrelplank.upstream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import petrelplank.proxy.Attempt;

/**
 * Aborts that wait to be written, and the attempts held back until they are. Guards sites that allow no hedging: an
 * attempt is in flight at its server until it is aborted on the wire, so that the next attempt of its request waits
 * until the abort is written or its connection has closed. Event thread only.
 */
final class PendingAborts {
    /** The connections on which an abort of one request waits, and the attempts that wait for it; few at a time. */
    private static final class PendingRequest {
        final Set<UpstreamConnection> connections = new HashSet<>(2);
        final List<Attempt> heldBack = new ArrayList<>(1);
    }

    private final Map<String, PendingRequest> requests = new HashMap<>();

    /** An abort of a request was queued on a connection, or the connection is being closed to the same end. */
    void abortQueued(String requestId, UpstreamConnection connection) {
        requests.computeIfAbsent(requestId, id -> new PendingRequest())
                .connections
                .add(connection);
    }

    /**
     * Holds an attempt back where an abort of its request is pending, until {@link #abortWritten} or
     * {@link #connectionClosed} hands it back.
     *
     * @return false where it may be sent at once
     */
    boolean holdBack(Attempt attempt) {
        PendingRequest request = requests.get(attempt.request().id());
        if (request == null) {
            return false;
        }
        request.heldBack.add(attempt);
        return true;
    }

    /** An attempt was given up itself; where it is held back, it never is sent. */
    void remove(Attempt attempt) {
        PendingRequest request = requests.get(attempt.request().id());
        if (request != null) {
            request.heldBack.remove(attempt);
        }
    }

    /**
     * An abort was written.
     *
     * @return the attempts that may now be sent
     */
    List<Attempt> abortWritten(String requestId, UpstreamConnection connection) {
        PendingRequest request = requests.get(requestId);
        if (request == null || !request.connections.remove(connection) || !request.connections.isEmpty()) {
            return List.of();
        }
        requests.remove(requestId);
        return request.heldBack;
    }

    /**
     * A connection has closed, which aborts all that was in flight on it.
     *
     * @return the attempts that may now be sent
     */
    List<Attempt> connectionClosed(UpstreamConnection connection) {
        List<Attempt> released = new ArrayList<>();
        for (String requestId : List.copyOf(requests.keySet())) {
            released.addAll(abortWritten(requestId, connection));
        }
        return released;
    }
}
