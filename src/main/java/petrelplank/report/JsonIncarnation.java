package petrelplank.report;

import com.fasterxml.jackson.annotation.JsonProperty;
import petrelplank.analysis.Incarnation;

/**
 * An incarnation of a proxy as JSON.
 *
 * @param proxy whose it is
 * @param startedUs when it started; null where the record of the start is missing
 * @param lastUs its last record
 * @param end how it ended, as far as is known
 * @param missing how many entries are missing
 */
public record JsonIncarnation(
        @JsonProperty("front") String proxy, Long startedUs, long lastUs, String end, long missing) {
    static JsonIncarnation of(Incarnation incarnation) {
        return new JsonIncarnation(
                incarnation.proxy(),
                incarnation.startedUs(),
                incarnation.lastUs(),
                incarnation.end(),
                incarnation.missingEntries());
    }
}
