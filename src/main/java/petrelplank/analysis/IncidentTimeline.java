package petrelplank.analysis;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.LongStream;
import petrelplank.record.ListedEndpoint;

/** The figures of an incident, worked out once from all that the records say. */
public final class IncidentTimeline {
    private final RecordAggregator records;
    private final List<Incarnation> incarnations;
    private final FleetTopology topology;
    private final RequestFigures requests;
    private final GraceViolations violations;
    private final ResponseAccounting responses;
    private final OriginCalls originCalls;
    private final Map<Long, OriginCallCounts> originCallsBySecond;

    /**
     * Works the figures out.
     *
     * @param records what the records say
     */
    public IncidentTimeline(RecordAggregator records) {
        this.records = records;
        this.incarnations = records.incarnations().stream()
                .sorted(Comparator.comparing(Incarnation::proxy)
                        .thenComparingLong(Incarnation::firstUs)
                        .thenComparingLong(Incarnation::id))
                .toList();
        this.topology = new FleetTopology(incarnations);
        this.requests = new RequestFigures(incarnations, topology);
        this.violations = new GraceViolations(incarnations);
        this.responses = new ResponseAccounting(incarnations);
        this.originCalls = new OriginCalls(records.endpoints(), topology);
        this.originCallsBySecond = originCalls.countsBySecond();
    }

    boolean isOrigin(String endpoint) {
        return topology.isOrigin(endpoint);
    }

    boolean isParent(String endpoint) {
        return topology.isParent(endpoint);
    }

    OriginCalls originCalls() {
        return originCalls;
    }

    /** Entries counted, each once. */
    public long entries() {
        return records.entries();
    }

    /** Entries that came again. */
    public long duplicateEntries() {
        return records.duplicates();
    }

    /** The incarnations, by proxy and time. */
    public List<Incarnation> incarnations() {
        return incarnations;
    }

    /** All requests. */
    public RequestTotals total() {
        return requests.total();
    }

    /** Requests by Unix second. */
    public Map<Long, RequestTotals> requestsBySecond() {
        return requests.bySecond();
    }

    /** Requests by class. */
    public Map<String, RequestTotals> requestsByClass() {
        return requests.byClass();
    }

    /** Requests by zone. */
    public Map<String, RequestTotals> requestsByZone() {
        return requests.byZone();
    }

    /** Requests by zone and Unix second. */
    public Map<String, Map<Long, RequestTotals>> requestsByZoneAndSecond() {
        return requests.byZoneAndSecond();
    }

    /** Calls of the origin that proxies heard of, by Unix second. */
    public Map<Long, OriginCallCounts> originCallsBySecond() {
        return originCallsBySecond;
    }

    /** The endpoints as last listed. */
    public Map<String, ListedEndpoint> listedEndpoints() {
        return topology.endpoints();
    }

    /** What was seen of endpoints. */
    public Map<String, EndpointStatistics> endpoints() {
        return records.endpoints();
    }

    /** Attempts at an endpoint, or by way of it, after the grace period of its drain. */
    public long lateSends() {
        return violations.lateSends();
    }

    /** Responses from a copy older than a purge, after the grace period of that purge. */
    public long staleResponses() {
        return violations.staleResponses();
    }

    /** Requests without a final response, in incarnations of which every entry is there. */
    public long unanswered() {
        return responses.unanswered();
    }

    /** Requests of which entries are missing, so that nothing can be said of their responses. */
    public long unknown() {
        return responses.unknown();
    }

    /** Final responses to what was not asked, or answered before. */
    public long duplicateResponses() {
        return responses.duplicates();
    }

    /** Unix seconds in which entries are missing: their figures are too small by an unknown amount. */
    public List<Long> incompleteSeconds() {
        return incarnations.stream()
                .flatMap(incarnation -> incarnation.gaps().stream())
                .flatMap(gap -> LongStream.rangeClosed(gap.fromS(), gap.toS()).boxed())
                .distinct()
                .sorted()
                .toList();
    }

    /** The first time in the records, in Unix microseconds; 0 where there are none. */
    public long firstUs() {
        return incarnations.stream().mapToLong(Incarnation::firstUs).min().orElse(0);
    }

    /** The last time in the records, in Unix microseconds; 0 where there are none. */
    public long lastUs() {
        return incarnations.stream().mapToLong(Incarnation::lastUs).max().orElse(0);
    }

    /** Requests that the router rejected or failed, by its reason. */
    public Map<String, Long> terminationReasons() {
        return sumByName(RequestLog::terminationReasons);
    }

    /** Requests that proxies rejected before the router saw them, by their response. */
    public Map<String, Long> rejectedBeforeRouting() {
        return sumByName(RequestLog::rejectedBeforeRouting);
    }

    private Map<String, Long> sumByName(Function<RequestLog, Map<String, Long>> counts) {
        Map<String, Long> sums = new TreeMap<>();
        for (Incarnation incarnation : incarnations) {
            counts.apply(incarnation.requests()).forEach((storedName, count) -> {
                String name = storedName.toLowerCase(Locale.ROOT).replace('_', '-');
                sums.merge(name, count, Long::sum);
            });
        }
        return sums;
    }

    /** Requests open at all proxies together, by Unix second; a proxy that wrote nothing then is left out. */
    public Map<Long, Long> openRequestsBySecond() {
        Map<Long, Long> open = new TreeMap<>();
        incarnations.forEach(incarnation -> incarnation
                .heartbeats()
                .forEach((second, heartbeat) -> open.merge(second, (long) heartbeat.openRequests(), Long::sum)));
        return open;
    }

    /** The most that any proxy's event thread was late, by Unix second, in microseconds. */
    public Map<Long, Long> eventThreadLatenessUsBySecond() {
        Map<Long, Long> lateness = new TreeMap<>();
        incarnations.forEach(incarnation -> incarnation
                .heartbeats()
                .forEach((second, heartbeat) -> lateness.merge(second, heartbeat.maxTimerDelayUs(), Math::max)));
        return lateness;
    }

    /** When proxies were notified of drains, by endpoint. */
    public Map<String, List<Long>> drainNotificationsUs() {
        Map<String, List<Long>> drains = new TreeMap<>();
        for (Incarnation incarnation : incarnations) {
            for (String endpoint : incarnation.endpointNotifications().ids()) {
                long notifiedUs = incarnation.endpointNotifications().firstDrainUs(endpoint);
                if (notifiedUs >= 0) {
                    drains.computeIfAbsent(endpoint, id -> new ArrayList<>()).add(notifiedUs);
                }
            }
        }
        return drains;
    }

    /** When proxies were notified of purges, by the notification's index. */
    public Map<Long, List<Long>> purgeNotificationsUs() {
        Map<Long, List<Long>> purges = new TreeMap<>();
        incarnations.forEach(incarnation -> incarnation
                .purgeNotifications()
                .notifiedUs()
                .forEach((index, notifiedUs) ->
                        purges.computeIfAbsent(index, key -> new ArrayList<>()).add(notifiedUs)));
        return purges;
    }
}
