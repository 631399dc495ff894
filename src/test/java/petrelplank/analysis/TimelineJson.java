package petrelplank.analysis;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Map;
import petrelplank.report.JsonReport;

/** The figures of a timeline as {@code report --json} writes them, to compare by key. */
final class TimelineJson {
    private TimelineJson() {}

    static Map<String, Object> of(IncidentTimeline timeline) {
        JsonReport report = JsonReport.of(timeline, List.of(), List.of());
        return new ObjectMapper().convertValue(report, new TypeReference<>() {});
    }
}
