package petrelplank.analysis;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The calls of the origin that proxies heard of: its own responses, and what caches reported of their fills. */
final class OriginCalls {
    private final List<String> origins = new ArrayList<>();
    private final List<OriginCall> byStart = new ArrayList<>();

    OriginCalls(Map<String, EndpointStatistics> endpoints, FleetTopology topology) {
        endpoints.forEach((id, statistics) -> {
            if (topology.isOrigin(id)) {
                origins.add(id);
                byStart.addAll(statistics.responsesAsOriginCalls());
            } else {
                byStart.addAll(statistics.reportedOriginCalls());
            }
        });
        byStart.sort(OriginCall.BY_START);
    }

    /** The ids of the origin's endpoints. */
    List<String> origins() {
        return origins;
    }

    /** All calls, by start. */
    List<OriginCall> byStart() {
        return byStart;
    }

    /** Calls and failures by the Unix second of their end. */
    Map<Long, OriginCallCounts> countsBySecond() {
        Map<Long, OriginCallCounts> counts = new TreeMap<>();
        for (OriginCall call : byStart) {
            OriginCallCounts one = new OriginCallCounts(1, call.succeeded() ? 0 : 1);
            counts.merge(UnixTime.second(call.endedUs()), one, OriginCallCounts::plus);
        }
        return counts;
    }
}
