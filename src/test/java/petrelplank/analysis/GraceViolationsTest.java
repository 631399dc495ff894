package petrelplank.analysis;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelplank.record.Entry;
import petrelplank.record.Event;
import petrelplank.record.ListedEndpoint;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;
import petrelplank.routing.EndpointState;

class GraceViolationsTest {
    private static final long START_US = 1_764_576_000_000_000L;
    private static final long START_MS = START_US / 1000;
    private static final long DRAIN_GRACE_US = 1_000_000;
    private static final long PURGE_GRACE_US = 500_000;

    private static Event proxyStarted() {
        return new Event.ProxyStarted(
                "b", List.of("b"), List.of(), null, null, List.of(), DRAIN_GRACE_US, PURGE_GRACE_US, 1);
    }

    private static Event draining(String endpoint) {
        return new Event.EndpointsChanged(
                1, true, List.of(new ListedEndpoint(endpoint, "b", "box", EndpointState.DRAINING, 1, 0)));
    }

    private static Event servedFrom(String endpoint, long bornMs) {
        return new Event.AttemptEnded(
                1, 0, "c", endpoint, null, 1, 7, AttemptStatus.OK, CacheStatus.HIT, 1_000, 0, bornMs, 10, List.of());
    }

    /** A send behind a drain's grace period and a copy from before a purge, also in reverse order. */
    @Test
    void lateSendsAndStaleCopiesAreFound() {
        Event[] events = {
            proxyStarted(),
            draining("s"),
            new Event.Purged(2, null, 7, START_MS + 2),
            new Event.AttemptSent(1, 0, "c", "s", null, 1, 7),
            new Event.AttemptSent(2, 0, "c", "t", "s", 1, 7),
            servedFrom("s", START_MS)
        };
        long[] offsetsUs = {0, 1, 2, 900_000, 1_100_000, 1_200_000};
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < events.length; i++) {
            entries.add(new Entry("f", 1, i, START_US + offsetsUs[i], events[i]));
        }
        Collections.reverse(entries);
        IncidentTimeline timeline = Emulated.course(entries);
        assertEquals(1, timeline.lateSends());
        assertEquals(1, timeline.staleResponses());
    }
}
