package petrelplank.report;

import com.fasterxml.jackson.annotation.JsonUnwrapped;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.File;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import petrelplank.analysis.Finding;
import petrelplank.analysis.FleetSnapshot;
import petrelplank.analysis.IncidentTimeline;

/**
 * The report as a JSON document. The order of the components is the order of the keys.
 *
 * @param figures the figures; their keys stand in the document itself
 * @param findings what went wrong
 * @param troubles what could not be read
 * @param worstUs the middle of the second that lost most priority weight
 * @param fleet the endpoints at that time, by id
 */
public record JsonReport(
        @JsonUnwrapped JsonFigures figures,
        List<JsonFinding> findings,
        List<String> troubles,
        long worstUs,
        Map<String, JsonEndpointStatus> fleet) {
    /**
     * Makes the document.
     *
     * @param timeline the figures
     * @param findings what went wrong
     * @param unreadable what could not be read
     * @return the document
     */
    public static JsonReport of(IncidentTimeline timeline, List<Finding> findings, List<String> unreadable) {
        long worstUs = FleetSnapshot.worstUs(timeline);
        Map<String, JsonEndpointStatus> fleet = new TreeMap<>();
        FleetSnapshot.at(timeline, findings, worstUs)
                .forEach((id, status) -> fleet.put(id, JsonEndpointStatus.of(status)));
        return new JsonReport(
                JsonFigures.of(timeline), findings.stream().map(JsonFinding::of).toList(), unreadable, worstUs, fleet);
    }

    /**
     * Writes the document, indented.
     *
     * @param file where to
     * @throws IOException where it can't be written
     */
    public void writeTo(File file) throws IOException {
        new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValue(file, this);
    }
}
