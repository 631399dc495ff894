package petrelplank.report;

import com.fasterxml.jackson.annotation.JsonProperty;
import petrelplank.analysis.EndpointStatistics;
import petrelplank.routing.AttemptStatus;

/**
 * Attempts at an endpoint as JSON.
 *
 * @param sent attempts sent
 * @param abandoned attempts that the proxy timed out or cancelled
 * @param ok attempts that ended well
 * @param error attempts answered with an error
 * @param rejected attempts that the endpoint had no room for
 * @param miss attempts for a copy that the endpoint does not hold
 * @param reset attempts whose connection was reset
 * @param connectFailed attempts without a connection
 * @param medianMs the median of the response time
 * @param p99Ms the 99th percentile of the response time
 */
public record JsonEndpointStatistics(
        long sent,
        @JsonProperty("withdrawn") long abandoned,
        long ok,
        long error,
        @JsonProperty("full") long rejected,
        long miss,
        long reset,
        @JsonProperty("connect_failed") long connectFailed,
        @JsonProperty("p50Ms") double medianMs,
        double p99Ms) {
    static JsonEndpointStatistics of(EndpointStatistics statistics) {
        return new JsonEndpointStatistics(
                statistics.sent(),
                statistics.abandoned(),
                statistics.ended(AttemptStatus.OK),
                statistics.ended(AttemptStatus.ERROR),
                statistics.ended(AttemptStatus.REJECTED),
                statistics.ended(AttemptStatus.MISS),
                statistics.ended(AttemptStatus.RESET),
                statistics.ended(AttemptStatus.CONNECT_FAILED),
                statistics.responseTimeMs(50),
                statistics.responseTimeMs(99));
    }
}
