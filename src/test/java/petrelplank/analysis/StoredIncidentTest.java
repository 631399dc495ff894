package petrelplank.analysis;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelplank.record.Event;
import petrelplank.record.RecordReader;

/** The figures of records that an earlier version wrote of a small incident: 8 s, one front, one silent cache. */
class StoredIncidentTest {
    private static final Path STORED = Path.of("src/test/resources/records/silent-cache");

    @Test
    void figuresAndFindingsAreThoseOfTheVersionThatWroteThem() throws IOException {
        RecordReader reader = new RecordReader();
        RecordAggregator records = new RecordAggregator();
        reader.read(List.of(STORED), records::add);
        IncidentTimeline timeline = new IncidentTimeline(records);
        assertEquals(List.of(), reader.troubles());
        assertEquals(466, timeline.entries());
        assertEquals(106, timeline.total().asked());
        assertEquals(106, timeline.total().count(Event.ResponseKind.SERVED));
        assertEquals(103, timeline.total().inTime());
        assertEquals(139.0, timeline.total().worthAsked());
        assertEquals(136.6, timeline.total().worthEarned());
        assertEquals(0, timeline.unanswered() + timeline.unknown() + timeline.duplicateResponses());
        List<Finding> findings = Diagnosis.of(timeline);
        assertEquals(1, findings.size());
        assertEquals("silent-cache", findings.get(0).kind().label());
        assertEquals(List.of("box-1.branch1"), findings.get(0).servers());
    }
}
