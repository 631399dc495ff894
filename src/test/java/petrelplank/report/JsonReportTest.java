package petrelplank.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import petrelplank.analysis.Diagnosis;
import petrelplank.analysis.IncidentTimeline;
import petrelplank.analysis.RecordAggregator;
import petrelplank.record.RecordReader;

/** The keys of the JSON document are read by other programs: they stay, whatever Java names become. */
class JsonReportTest {
    private static final Path RECORDS = Path.of("src/test/resources/records/silent-cache");

    @TempDir
    File folder;

    private JsonNode document;

    @BeforeEach
    void writeDocument() throws IOException {
        RecordAggregator records = new RecordAggregator();
        new RecordReader().read(List.of(RECORDS), records::add);
        IncidentTimeline timeline = new IncidentTimeline(records);
        File file = new File(folder, "report.json");
        JsonReport.of(timeline, Diagnosis.of(timeline), List.of("a line")).writeTo(file);
        document = new ObjectMapper().readTree(file);
    }

    private static List<String> keys(JsonNode node) {
        List<String> keys = new ArrayList<>();
        node.fieldNames().forEachRemaining(keys::add);
        return keys;
    }

    @Test
    void documentHasItsKeysInOrder() {
        assertEquals(
                List.of(
                        "total",
                        "seconds",
                        "classes",
                        "branches",
                        "servers",
                        "central",
                        "purges",
                        "drains",
                        "lives",
                        "givenUp",
                        "turnedAway",
                        "unanswered",
                        "unknown",
                        "surplus",
                        "lateSends",
                        "latePurge",
                        "incomplete",
                        "entries",
                        "doubled",
                        "findings",
                        "troubles",
                        "worstUs",
                        "fleet"),
                keys(document));
        assertEquals("a line", document.at("/troubles/0").asText());
    }

    @Test
    void figuresHaveTheirKeysInOrder() {
        List<String> totals =
                List.of("asked", "served", "still", "refused", "failed", "inTime", "worthAsked", "worthEarned");
        assertEquals(totals, keys(document.at("/total")));
        assertEquals(totals, keys(document.at("/seconds").iterator().next()));
        assertEquals(
                List.of(
                        "sent",
                        "withdrawn",
                        "ok",
                        "error",
                        "full",
                        "miss",
                        "reset",
                        "connect_failed",
                        "p50Ms",
                        "p99Ms"),
                keys(document.at("/servers").iterator().next()));
        assertEquals(
                List.of("calls", "failed"),
                keys(document.at("/central").iterator().next()));
        assertEquals(List.of("front", "startedUs", "lastUs", "end", "missing"), keys(document.at("/lives/0")));
    }

    @Test
    void findingsAndTheFleetHaveTheirKeysInOrder() {
        assertEquals(
                List.of("kind", "servers", "fromUs", "toUs", "slackUs", "worth", "evidence"),
                keys(document.at("/findings/0")));
        assertEquals("silent-cache", document.at("/findings/0/kind").asText());
        // A state that no proxy was notified of has no key.
        JsonNode endpoint = document.at("/fleet").iterator().next();
        assertEquals(List.of("zone", "up", "outAt", "startedUs", "troubles"), keys(endpoint));
        assertTrue(endpoint.at("/up").isIntegralNumber());
    }
}
