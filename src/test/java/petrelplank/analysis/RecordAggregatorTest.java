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
import petrelplank.record.ResponseKind;
import petrelplank.yaml.Yaml;

/** The aggregated state does not depend on the order of entries, and tells what is missing. */
class RecordAggregatorTest {
    private static Map<String, Object> figures(List<Entry> entries) {
        IncidentTimeline timeline = Emulated.course(entries);
        Map<String, Object> figures = TimelineJson.of(timeline);
        figures.remove("doubled");
        figures.put("findings", Diagnosis.of(timeline).toString());
        return figures;
    }

    @Test
    void anyOrderAndAnyRepeatsGiveTheSameState() throws IOException {
        List<Entry> entries = Emulated.of("restart", 3).entries();
        Map<String, Object> inOrder = figures(entries);
        for (int seed = 1; seed <= 3; seed++) {
            Random random = new Random(seed);
            List<Entry> shuffled = new ArrayList<>(entries);
            for (int i = 0; i < entries.size() / 2; i++) {
                shuffled.add(entries.get(random.nextInt(entries.size())));
            }
            Collections.shuffle(shuffled, random);
            assertEquals(inOrder, figures(shuffled));
            assertEquals(entries.size() / 2, Emulated.course(shuffled).duplicateEntries());
        }
    }

    /** A proxy that lost records is not blamed for responses that were given. */
    @Test
    void missingEntriesAreUnknownAndNeverZero() throws IOException {
        List<Entry> entries = Emulated.of("calm", 1).entries();
        List<Entry> rest = withGap(entries, "front-1.branch1");
        IncidentTimeline timeline = Emulated.course(rest);
        assertEquals(0, timeline.unanswered());
        assertEquals(0, timeline.duplicateResponses());
        assertTrue(timeline.unknown() > 0);
        assertFalse(timeline.incompleteSeconds().isEmpty());
        assertEquals(List.of(), Diagnosis.of(timeline));
        long missing = timeline.incarnations().stream()
                .flatMap(incarnation -> incarnation.gaps().stream())
                .mapToLong(gap -> gap.last() - gap.first() + 1)
                .sum();
        assertEquals(entries.size() - rest.size(), missing);
        // Seconds in which nothing is missing have their true figures.
        IncidentTimeline complete = Emulated.course(entries);
        complete.requestsBySecond().forEach((second, totals) -> {
            if (!timeline.incompleteSeconds().contains(second)) {
                RequestTotals found = timeline.requestsBySecond().get(second);
                assertEquals(totals.asked(), found.asked(), "second " + second);
            }
        });
    }

    /** Without a proxy's entries from a third to a half of its numbers. */
    private static List<Entry> withGap(List<Entry> entries, String proxy) {
        long last = entries.stream()
                .filter(entry -> entry.proxy().equals(proxy))
                .mapToLong(Entry::number)
                .max()
                .orElse(0);
        return entries.stream()
                .filter(entry -> !entry.proxy().equals(proxy) || entry.number() < last / 3 || entry.number() > last / 2)
                .toList();
    }

    @Test
    void clockSkewMovesNoFindingByMoreThanItself() {
        Scenario skewed = Scenario.of(Yaml.read(
                "apart.yaml",
                "name: apart\nclocks-apart: 200ms\ntroubles:\n"
                        + "  - kind: silent\n    servers: [hub-box-1.hub2]\n    at: 12s\n    for: 12s\n"));
        IncidentTimeline timeline = Emulated.course(Emulated.of(skewed, 5).entries());
        List<Finding> findings = Diagnosis.of(timeline);
        assertEquals(1, findings.size(), findings.toString());
        assertEquals(Finding.Kind.SILENT_HUB, findings.get(0).kind());
        assertEquals(0, timeline.lateSends() + timeline.staleResponses() + timeline.unanswered());
    }

    @Test
    void secondFinalResponseAndAMissingOneAreFound() {
        long startUs = 1_764_576_000_000_000L;
        Event admitted = new Event.RequestAdmitted(1, "c", 1, 1);
        Event completed = new Event.RequestCompleted(1, "c", ResponseKind.SERVED, 1, 1, 1, true, 0, null);
        Event[] events = {admitted, completed, completed, new Event.RequestAdmitted(2, "c", 1, 1)};
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < events.length; i++) {
            entries.add(new Entry("f", 1, i, startUs, events[i]));
        }
        IncidentTimeline timeline = Emulated.course(entries);
        assertEquals(1, timeline.duplicateResponses());
        assertEquals(1, timeline.unanswered());
    }
}
