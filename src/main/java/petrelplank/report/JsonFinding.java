package petrelplank.report;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import petrelplank.analysis.Finding;

/**
 * A finding as JSON.
 *
 * @param kind the label of its kind
 * @param servers endpoints, proxies or zones that it was at
 * @param fromUs when it began
 * @param toUs when it ended
 * @param slackUs how far the end may be off
 * @param lostWorth the priority weight lost meanwhile
 * @param evidence what it rests on, a line each
 */
public record JsonFinding(
        String kind,
        List<String> servers,
        long fromUs,
        long toUs,
        long slackUs,
        @JsonProperty("worth") double lostWorth,
        List<String> evidence) {
    static JsonFinding of(Finding finding) {
        return new JsonFinding(
                finding.kind().label(),
                finding.servers(),
                finding.fromUs(),
                finding.toUs(),
                finding.slackUs(),
                finding.worth(),
                finding.evidence());
    }
}
