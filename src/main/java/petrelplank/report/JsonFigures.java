package petrelplank.report;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonUnwrapped;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import petrelplank.analysis.IncidentTimeline;
import petrelplank.analysis.OriginCallCounts;

/**
 * All figures of a report as JSON. The groups are of use here only: their keys stand in one object.
 *
 * @param requests sums over requests
 * @param fleet what was seen of endpoints and proxies
 * @param outcomes what became of requests that were not served as they should
 * @param records what the figures rest on
 */
public record JsonFigures(
        @JsonUnwrapped Requests requests,
        @JsonUnwrapped Fleet fleet,
        @JsonUnwrapped Outcomes outcomes,
        @JsonUnwrapped Records records) {
    /**
     * Sums over requests.
     *
     * @param total all
     * @param bySecond by Unix second
     * @param byClass by class
     * @param byZone by zone
     */
    public record Requests(
            JsonRequestTotals total,
            @JsonProperty("seconds") Map<String, JsonRequestTotals> bySecond,
            @JsonProperty("classes") Map<String, JsonRequestTotals> byClass,
            @JsonProperty("branches") Map<String, JsonRequestTotals> byZone) {}

    /**
     * What was seen of endpoints and proxies.
     *
     * @param endpoints attempts by endpoint
     * @param originCalls calls of the origin by Unix second
     * @param purges notifications of purges by index
     * @param drains notifications of drains by endpoint
     * @param incarnations the incarnations of proxies
     */
    public record Fleet(
            @JsonProperty("servers") Map<String, JsonEndpointStatistics> endpoints,
            @JsonProperty("central") Map<String, OriginCallCounts> originCalls,
            Map<String, JsonNotifications> purges,
            Map<String, JsonNotifications> drains,
            @JsonProperty("lives") List<JsonIncarnation> incarnations) {}

    /**
     * What became of requests that were not served as they should.
     *
     * @param terminationReasons requests that the router rejected or failed, by reason
     * @param rejectedBeforeRouting requests that proxies rejected before the router, by response
     * @param unanswered requests without a final response
     * @param unknown requests of which entries are missing
     * @param duplicateResponses final responses that were too many
     * @param lateSends attempts after the grace period of a drain
     * @param staleResponses responses from a copy older than a purge, after its grace period
     */
    public record Outcomes(
            @JsonProperty("givenUp") Map<String, Long> terminationReasons,
            @JsonProperty("turnedAway") Map<String, Long> rejectedBeforeRouting,
            long unanswered,
            long unknown,
            @JsonProperty("surplus") long duplicateResponses,
            long lateSends,
            @JsonProperty("latePurge") long staleResponses) {}

    /**
     * What the figures rest on.
     *
     * @param incompleteSeconds Unix seconds in which entries are missing
     * @param entries entries counted
     * @param duplicates entries that came again
     */
    public record Records(
            @JsonProperty("incomplete") List<Long> incompleteSeconds,
            long entries,
            @JsonProperty("doubled") long duplicates) {}

    static JsonFigures of(IncidentTimeline timeline) {
        return new JsonFigures(requests(timeline), fleet(timeline), outcomes(timeline), records(timeline));
    }

    private static Requests requests(IncidentTimeline timeline) {
        return new Requests(
                JsonRequestTotals.of(timeline.total()),
                convert(timeline.requestsBySecond(), JsonRequestTotals::of),
                convert(timeline.requestsByClass(), JsonRequestTotals::of),
                convert(timeline.requestsByZone(), JsonRequestTotals::of));
    }

    private static Fleet fleet(IncidentTimeline timeline) {
        Map<String, JsonEndpointStatistics> endpoints = new TreeMap<>();
        timeline.endpoints().forEach((id, statistics) -> {
            if (statistics.sent() > 0) {
                endpoints.put(id, JsonEndpointStatistics.of(statistics));
            }
        });
        return new Fleet(
                endpoints,
                convert(timeline.originCallsBySecond(), Function.identity()),
                convert(timeline.purgeNotificationsUs(), JsonNotifications::of),
                convert(timeline.drainNotificationsUs(), JsonNotifications::of),
                timeline.incarnations().stream().map(JsonIncarnation::of).toList());
    }

    private static Outcomes outcomes(IncidentTimeline timeline) {
        return new Outcomes(
                timeline.terminationReasons(),
                timeline.rejectedBeforeRouting(),
                timeline.unanswered(),
                timeline.unknown(),
                timeline.duplicateResponses(),
                timeline.lateSends(),
                timeline.staleResponses());
    }

    private static Records records(IncidentTimeline timeline) {
        return new Records(timeline.incompleteSeconds(), timeline.entries(), timeline.duplicateEntries());
    }

    /** Keys as text and values as documents, in the order that they have: numbers by value, not by their digits. */
    private static <K, V, D> Map<String, D> convert(Map<K, V> figures, Function<V, D> document) {
        Map<String, D> converted = new LinkedHashMap<>();
        figures.forEach((key, value) -> converted.put(key.toString(), document.apply(value)));
        return converted;
    }
}
