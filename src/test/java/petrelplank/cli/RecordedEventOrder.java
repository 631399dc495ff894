package petrelplank.cli;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import petrelplank.record.Event;

/**
 * What holds for the events of every proxy: the first one is its start, a request ends once at most and only after it
 * was admitted, an attempt is sent once and only for an admitted request, and only an attempt that was sent ends.
 */
final class RecordedEventOrder {
    private final Set<Long> admittedRequests = new HashSet<>();
    private final Set<Long> endedRequests = new HashSet<>();
    private final Set<String> openAttempts = new HashSet<>();

    private RecordedEventOrder() {}

    /** Asserts it of all events of one proxy. */
    static void check(List<Event> events) {
        assertInstanceOf(Event.ProxyStarted.class, events.get(0));
        RecordedEventOrder order = new RecordedEventOrder();
        events.forEach(order::check);
    }

    private void check(Event event) {
        if (event instanceof Event.RequestAdmitted admitted) {
            assertTrue(admittedRequests.add(admitted.request()), admitted::toString);
        } else if (event instanceof Event.AttemptSent sent) {
            assertTrue(admittedRequests.contains(sent.request()), sent::toString);
            assertTrue(openAttempts.add(attemptId(sent.request(), sent.attempt())), sent::toString);
        } else if (event instanceof Event.AttemptEnded ended) {
            assertTrue(openAttempts.remove(attemptId(ended.request(), ended.attempt())), ended::toString);
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

    private static String attemptId(long request, int attempt) {
        return request + " " + attempt;
    }
}
