package petrelplank.analysis;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import petrelplank.emulator.Scenario;
import petrelplank.record.Entry;
import petrelplank.record.Event;
import petrelplank.routing.EndpointState;
import petrelplank.yaml.Yaml;

class RecordAggregatorTest {
    private static Map<String, Object> figures(List<Entry> entries) {
        IncidentTimeline course = Emulated.course(entries);
        Map<String, Object> tree = course.tree();
        tree.remove("doubled");
        tree.put("findings", Diagnosis.of(course).toString());
        return tree;
    }

    @Test
    void anyOrderAndAnyRepeatsGiveTheSameState() throws IOException {
        List<Entry> entries = Emulated.of("restart", 3).entries();
        Map<String, Object> straight = figures(entries);
        for (int seed = 1; seed <= 3; seed++) {
            Random random = new Random(seed);
            List<Entry> mixed = new ArrayList<>(entries);
            for (int i = 0; i < entries.size() / 2; i++) {
                mixed.add(entries.get(random.nextInt(entries.size())));
            }
            Collections.shuffle(mixed, random);
            assertEquals(straight, figures(mixed));
            assertEquals(entries.size() / 2, Emulated.course(mixed).fold().doubled());
        }
    }

    /** What is missing is told as unknown; a front that lost records is not blamed for answers that were given. */
    @Test
    void missingEntriesAreUnknownAndNeverZero() throws IOException {
        List<Entry> entries = Emulated.of("calm", 1).entries();
        String front = "front-1.branch1";
        long last = entries.stream()
                .filter(e -> e.proxy().equals(front))
                .mapToLong(Entry::number)
                .max()
                .orElse(0);
        List<Entry> rest = entries.stream()
                .filter(e -> !e.proxy().equals(front) || e.number() < last / 3 || e.number() > last / 2)
                .toList();
        IncidentTimeline course = Emulated.course(rest);
        assertEquals(0, course.unanswered());
        assertEquals(0, course.surplus());
        assertTrue(course.unknown() > 0);
        assertFalse(course.incomplete().isEmpty());
        assertEquals(List.of(), Diagnosis.of(course));
        long lost = course.lives().stream()
                .flatMap(l -> l.gaps().stream())
                .mapToLong(g -> g.last() - g.first() + 1)
                .sum();
        assertEquals(entries.size() - rest.size(), lost);
        // Seconds in which nothing is missing have their true figures.
        IncidentTimeline whole = Emulated.course(entries);
        whole.seconds().forEach((second, sums) -> {
            if (!course.incomplete().contains(second)) {
                assertEquals(sums.asked(), course.seconds().get(second).asked(), "second " + second);
            }
        });
    }

    @Test
    void clocksApartChangeNoFindingByMoreThanThat() {
        Scenario apart = Scenario.of(Yaml.read(
                "apart.yaml",
                "name: apart\nclocks-apart: 200ms\ntroubles:\n"
                        + "  - kind: silent\n    servers: [hub-box-1.hub2]\n    at: 12s\n    for: 12s\n"));
        Emulated e = Emulated.of(apart, 5);
        IncidentTimeline course = Emulated.course(e.entries());
        List<Finding> found = Diagnosis.of(course);
        assertEquals(1, found.size(), found.toString());
        assertEquals(Finding.Kind.SILENT_HUB, found.get(0).kind());
        assertEquals(0, course.lateDrain() + course.latePurge() + course.unanswered());
    }

    /** A send behind a drain's time and a copy from before a purge are found, also where the order is turned round. */
    @Test
    void lateSendsAndOldCopiesAreFound() {
        List<Entry> entries = new ArrayList<>();
        long from = 1_764_576_000_000_000L;
        Event[] events = {
            new Event.ProxyStarted("b", List.of("b"), List.of(), null, null, List.of(), 1_000_000, 500_000, 1),
            new Event.EndpointsChanged(
                    1, true, List.of(new Event.ListedEndpoint("s", "b", "box", EndpointState.DRAINING, 1, 0))),
            new Event.Purged(2, null, 7, from / 1000 + 2),
            new Event.AttemptSent(1, 0, "c", "s", null, 1, 7),
            new Event.AttemptSent(2, 0, "c", "t", "s", 1, 7),
            new Event.AttemptEnded(
                    1,
                    0,
                    "c",
                    "s",
                    null,
                    1,
                    7,
                    petrelplank.routing.AttemptStatus.OK,
                    petrelplank.routing.CacheStatus.HIT,
                    1_000,
                    0,
                    from / 1000,
                    10,
                    List.of())
        };
        long[] at = {0, 1, 2, 900_000, 1_100_000, 1_200_000};
        for (int i = 0; i < events.length; i++) {
            entries.add(new Entry("f", 1, i, from + at[i], events[i]));
        }
        Collections.reverse(entries);
        IncidentTimeline course = Emulated.course(entries);
        assertEquals(1, course.lateDrain());
        assertEquals(1, course.latePurge());
    }

    /** A box that the list says is up but that answers nothing is silent then, and not before or after. */
    @Test
    void fleetAtATimeIsWhatFrontsWereToldAndBelieved() throws IOException {
        long from = 1_764_576_000_000_000L;
        IncidentTimeline silent = Emulated.course(Emulated.of("silent-hub", 1).entries());
        List<Finding> found = Diagnosis.of(silent);
        FleetSnapshot.At during =
                FleetSnapshot.at(silent, found, from + 18_000_000).get("hub-box-1.hub2");
        assertEquals(Map.of(EndpointState.UP, 6), during.told());
        assertEquals(List.of(Finding.Kind.SILENT_HUB), during.troubles());
        assertFalse(during.outAt().isEmpty());
        for (long at : new long[] {6_000_000, 34_000_000}) {
            FleetSnapshot.At well = FleetSnapshot.at(silent, found, from + at).get("hub-box-1.hub2");
            assertEquals(List.of(), well.troubles());
            assertEquals(List.of(), well.outAt());
        }
        IncidentTimeline drain = Emulated.course(Emulated.of("drain", 1).entries());
        EndpointState[] states = {EndpointState.UP, EndpointState.DRAINING, EndpointState.REMOVED};
        long[] times = {14_000_000, 17_000_000, 22_000_000};
        for (int i = 0; i < times.length; i++) {
            assertEquals(
                    Map.of(states[i], 6),
                    FleetSnapshot.at(drain, List.of(), from + times[i])
                            .get("box-1.branch3")
                            .told());
        }
        IncidentTimeline restart = Emulated.course(Emulated.of("restart", 1).entries());
        assertEquals(
                Map.of(EndpointState.UP, 4),
                FleetSnapshot.at(restart, List.of(), from + 17_000_000)
                        .get("box-1.branch3")
                        .told());
    }

    @Test
    void secondFinalAnswerAndAMissingOneAreFound() {
        long from = 1_764_576_000_000_000L;
        Event taken = new Event.RequestAdmitted(1, "c", 1, 1);
        Event answer = new Event.RequestCompleted(1, "c", Event.ResponseKind.SERVED, 1, 1, 1, true, 0, null);
        Event[] events = {taken, answer, answer, new Event.RequestAdmitted(2, "c", 1, 1)};
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < events.length; i++) {
            entries.add(new Entry("f", 1, i, from, events[i]));
        }
        IncidentTimeline course = Emulated.course(entries);
        assertEquals(1, course.surplus());
        assertEquals(1, course.unanswered());
    }
}
