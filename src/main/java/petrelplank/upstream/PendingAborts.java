package petrelplank.upstream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import petrelplank.proxy.Attempt;

/**
 * Tracks aborts that are not written yet, and holds back further attempts of the same requests until they are. It is
 * used if hedging is not allowed: an attempt counts as in flight until its abort is written or its connection has
 * closed, and only then the next attempt of the request may be sent. Event thread only.
 */
final class PendingAborts {
    /** The connections with an unwritten abort of a request, and its held-back attempts; usually one of each. */
    private static final class PendingRequest {
        final Set<UpstreamConnection> connections = new HashSet<>(2);
        final List<Attempt> heldBack = new ArrayList<>(1);
    }

    private final Map<String, PendingRequest> requestsById = new HashMap<>();

    /** Called when an abort was queued on a connection, or when the connection is being closed to abort the request. */
    void abortQueued(String requestId, UpstreamConnection connection) {
        requestsById
                .computeIfAbsent(requestId, id -> new PendingRequest())
                .connections
                .add(connection);
    }

    /**
     * Holds an attempt back if an abort of its request is pending. {@link #abortWritten} or {@link #connectionClosed}
     * returns it once it may be sent.
     *
     * @return false if no abort is pending and the attempt may be sent at once
     */
    boolean holdBack(Attempt attempt) {
        PendingRequest request = requestsById.get(attempt.request().id());
        if (request == null) {
            return false;
        }
        request.heldBack.add(attempt);
        return true;
    }

    /** Called when an attempt is aborted: if it is held back, it is dropped and never sent. */
    void remove(Attempt attempt) {
        PendingRequest request = requestsById.get(attempt.request().id());
        if (request != null) {
            request.heldBack.remove(attempt);
        }
    }

    /** Removes and returns the attempts that are held back and meet a condition; they are never sent. */
    List<Attempt> removeHeldBack(Predicate<Attempt> condition) {
        List<Attempt> removed = new ArrayList<>();
        for (PendingRequest request : requestsById.values()) {
            request.heldBack.stream().filter(condition).forEach(removed::add);
            request.heldBack.removeIf(condition);
        }
        return removed;
    }

    /**
     * Called when an abort was written.
     *
     * @return the held-back attempts that may now be sent
     */
    List<Attempt> abortWritten(String requestId, UpstreamConnection connection) {
        PendingRequest request = requestsById.get(requestId);
        if (request == null || !request.connections.remove(connection) || !request.connections.isEmpty()) {
            return List.of();
        }
        requestsById.remove(requestId);
        return request.heldBack;
    }

    /**
     * Called when a connection has closed, which aborts all attempts that were in flight on it.
     *
     * @return the held-back attempts that may now be sent
     */
    List<Attempt> connectionClosed(UpstreamConnection connection) {
        List<Attempt> released = new ArrayList<>();
        for (String requestId : List.copyOf(requestsById.keySet())) {
            released.addAll(abortWritten(requestId, connection));
        }
        return released;
    }
}
