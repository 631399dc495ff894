package petrelplank.analysis;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.StreamSupport;
import org.junit.jupiter.api.Test;
import petrelplank.emulator.BundledScenarios;
import petrelplank.emulator.GroundTruth;
import petrelplank.record.ResponseKind;

/**
 * Every figure of the analysis against the emulator's ground truth, and every finding against the fault that was
 * injected. {@code -Dseeds=10} plays each scenario with more seeds than CI does and prints the confusion matrix.
 */
class TruthTest {
    private static final int SEEDS = Integer.getInteger("seeds", 1);
    private static final int FIRST_SEED = Integer.getInteger("first", 1);
    private static final int CALM_SEEDS = Integer.getInteger("calm", 2);
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Each run of a proxy: whose, from when, and whether it ended in order. */
    private static List<String> incarnations(JsonNode tree) {
        return StreamSupport.stream(tree.get("lives").spliterator(), false)
                .map(incarnation -> incarnation.get("front").asText() + " "
                        + incarnation.get("startedUs").asLong() + " "
                        + incarnation.get("end").asText().equals("finished"))
                .sorted()
                .toList();
    }

    private static List<String> differingFigures(GroundTruth truth, IncidentTimeline timeline) {
        JsonNode expected = JSON.valueToTree(truth);
        JsonNode actual = JSON.valueToTree(TimelineJson.of(timeline));
        List<String> mistakes = FigureComparison.differences(expected, actual);
        if (!incarnations(expected).equals(incarnations(actual))) {
            mistakes.add("lives: " + actual.get("lives"));
        }
        return mistakes;
    }

    private static List<String> brokenRules(GroundTruth truth, IncidentTimeline timeline) {
        List<String> mistakes = new ArrayList<>();
        if (truth.repeatedWrites() != 0) {
            mistakes.add("a stock-move ran twice");
        }
        if (timeline.lateSends() + timeline.staleResponses() + timeline.duplicateResponses() + timeline.unknown()
                != 0) {
            mistakes.add("late " + timeline.lateSends() + ", " + timeline.staleResponses() + ", surplus "
                    + timeline.duplicateResponses() + ", unknown " + timeline.unknown());
        }
        // The router gave a reason for each request that was rejected or failed; the proxy's own limits rejected none.
        long reasons = timeline.terminationReasons().values().stream()
                .mapToLong(Long::longValue)
                .sum();
        long unsuccessful =
                timeline.total().count(ResponseKind.REJECTED) + timeline.total().count(ResponseKind.FAILED);
        if (reasons != unsuccessful || !timeline.rejectedBeforeRouting().isEmpty()) {
            mistakes.add("reasons for " + reasons + " requests: " + timeline.terminationReasons()
                    + timeline.rejectedBeforeRouting());
        }
        return mistakes;
    }

    private static List<String> play(String scenario, long seed, Map<String, Integer> matrix) throws IOException {
        Emulated incident = Emulated.of(scenario, seed);
        IncidentTimeline timeline = Emulated.course(incident.entries());
        List<String> mistakes = differingFigures(incident.truth(), timeline);
        mistakes.addAll(brokenRules(incident.truth(), timeline));
        mistakes.addAll(new FindingComparison(incident.truth().faults(), Diagnosis.of(timeline), matrix).mistakes());
        return mistakes.stream()
                .map(mistake -> scenario + " seed " + seed + ": " + mistake)
                .toList();
    }

    @Test
    void everyFigureIsTheTruthAndEveryFaultIsFound() throws IOException {
        List<String> mistakes = new ArrayList<>();
        Map<String, Integer> matrix = new TreeMap<>();
        for (String scenario : BundledScenarios.incidents()) {
            int seeds = scenario.equals("calm") ? CALM_SEEDS : SEEDS;
            for (int seed = FIRST_SEED; seed < FIRST_SEED + seeds; seed++) {
                mistakes.addAll(play(scenario, seed, matrix));
            }
        }
        if (SEEDS > 1) {
            System.out.println(String.join("\n", mistakes) + "\n" + matrix);
        }
        assertEquals(List.of(), mistakes);
        assertTrue(matrix.size() > 5);
    }
}
