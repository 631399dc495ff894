package petrelplank.upstream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import petrelplank.proxy.Attempt;

/**
 * Guards sites that allow no second copies: an attempt is out at its server until it is given up on the wire, so that
 * the next attempt of its request waits until the abort is written or its connection has closed. Event thread only.
 */
final class PendingAborts {
    /** The connections on which an abort waits to be written, and the attempts that wait for it; few at a time. */
    private static final class Wait {
        final Set<UpstreamConnection> on = new HashSet<>(2);
        final List<Attempt> held = new ArrayList<>(1);
    }

    private final Map<String, Wait> waits = new HashMap<>();

    /** An abort of a request waits to be written on a connection. */
    void began(String request, UpstreamConnection on) {
        waits.computeIfAbsent(request, id -> new Wait()).on.add(on);
    }

    /** Whether an attempt has to wait; then it is kept until {@link #ended} or {@link #closed} hands it back. */
    boolean hold(Attempt attempt) {
        Wait wait = waits.get(attempt.request().id());
        return wait != null && wait.held.add(attempt);
    }

    /** An attempt that may be waiting was given up itself. */
    void drop(Attempt attempt) {
        Wait wait = waits.get(attempt.request().id());
        if (wait != null) {
            wait.held.remove(attempt);
        }
    }

    /** An abort was written; what may now be sent. */
    List<Attempt> ended(String request, UpstreamConnection on) {
        Wait wait = waits.get(request);
        if (wait == null || !wait.on.remove(on) || !wait.on.isEmpty()) {
            return List.of();
        }
        waits.remove(request);
        return wait.held;
    }

    /** A connection has closed, and with it all was given up on it; what may now be sent. */
    List<Attempt> closed(UpstreamConnection on) {
        List<Attempt> free = new ArrayList<>();
        for (String request : List.copyOf(waits.keySet())) {
            free.addAll(ended(request, on));
        }
        return free;
    }
}
