package petrelplank.report;

import com.fasterxml.jackson.annotation.JsonProperty;
import petrelplank.analysis.RequestTotals;
import petrelplank.record.ResponseKind;

/**
 * Sums over requests as JSON.
 *
 * @param asked requests admitted
 * @param served responses with the bytes
 * @param notModified responses that the client's own copy holds
 * @param rejected requests that may come again
 * @param failed requests that failed
 * @param inTime responses within the latency objective
 * @param worthAsked the priority weight of the requests
 * @param worthEarned the priority weight that was earned
 */
public record JsonRequestTotals(
        long asked,
        long served,
        @JsonProperty("still") long notModified,
        @JsonProperty("refused") long rejected,
        long failed,
        long inTime,
        double worthAsked,
        double worthEarned) {
    static JsonRequestTotals of(RequestTotals totals) {
        return new JsonRequestTotals(
                totals.asked(),
                totals.count(ResponseKind.SERVED),
                totals.count(ResponseKind.NOT_MODIFIED),
                totals.count(ResponseKind.REJECTED),
                totals.count(ResponseKind.FAILED),
                totals.inTime(),
                totals.worthAsked(),
                totals.worthEarned());
    }
}
