package petrelplank.cli;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import petrelplank.record.Event;

/**
 * Checks invariants of the events that a proxy records: the first event is its start; a request ends at most once, and
 * only after it was admitted; an attempt is sent only for an admitted request, and is not sent again while it is in
 * flight; only an attempt that was sent ends.
 */
final class RecordedEventOrder {
    private final Set<Long> admittedRequests = new HashSet<>();
    private final Set<Long> endedRequests = new HashSet<>();
    private final Set<String> openAttempts = new HashSet<>();

    private RecordedEventOrder() {}

    /** Checks all events of one proxy, in the order recorded. */
    static void check(List<Event> events) {
        assertInstanceOf(Event.ProxyStarted.class, events.get(0));
        RecordedEventOrder order = new RecordedEventOrder();
        events.forEach(order::checkEvent);
    }

    private void checkEvent(Event event) {
        if (event instanceof Event.RequestAdmitted admitted) {
            assertTrue(admittedRequests.add(admitted.request()), admitted::toString);
        } else if (event instanceof Event.AttemptSent sent) {
            assertTrue(admittedRequests.contains(sent.request()), sent::toString);
            assertTrue(openAttempts.add(attemptKey(sent.request(), sent.attempt())), sent::toString);
        } else if (event instanceof Event.AttemptEnded ended) {
            assertTrue(openAttempts.remove(attemptKey(ended.request(), ended.attempt())), ended::toString);
        } else if (event instanceof Event.RequestCompleted completed) {
            checkEndOfRequest(completed.request(), completed);
        } else if (event instanceof Event.ClientDisconnected disconnected) {
            checkEndOfRequest(disconnected.request(), disconnected);
        }
    }

    private void checkEndOfRequest(long request, Event event) {
        assertTrue(admittedRequests.contains(request), event::toString);
        assertTrue(endedRequests.add(request), event::toString);
    }

    private static String attemptKey(long request, int attempt) {
        return request + " " + attempt;
    }
}
