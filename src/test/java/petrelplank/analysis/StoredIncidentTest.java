package petrelplank.analysis;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelplank.record.RecordReader;
import petrelplank.record.ResponseKind;

/** The figures of records that an earlier version wrote of a small incident: 8 s, one front, one silent cache. */
class StoredIncidentTest {
    private static final Path STORED = Path.of("src/test/resources/records/silent-cache");

    @Test
    void figuresAndFindingsAreThoseOfTheVersionThatWroteThem() throws IOException {
        RecordReader reader = new RecordReader();
        RecordAggregator fold = new RecordAggregator();
        reader.read(List.of(STORED), fold::add);
        IncidentTimeline course = new IncidentTimeline(fold);
        assertEquals(List.of(), reader.errors());
        assertEquals(466, course.entries());
        assertEquals(106, course.total().asked());
        assertEquals(106, course.total().count(ResponseKind.SERVED));
        assertEquals(103, course.total().inTime());
        assertEquals(139.0, course.total().worthAsked());
        assertEquals(136.6, course.total().worthEarned());
        assertEquals(0, course.unanswered() + course.unknown() + course.duplicateResponses());
        List<Finding> findings = Diagnosis.of(course);
        assertEquals(1, findings.size());
        assertEquals("silent-cache", findings.get(0).kind().label());
        assertEquals(List.of("box-1.branch1"), findings.get(0).servers());
    }
}
