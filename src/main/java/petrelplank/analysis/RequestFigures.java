package petrelplank.analysis;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Sums over all requests: in all, by second, by class and by zone. */
final class RequestFigures {
    private final RequestTotals total = new RequestTotals();
    private final Map<Long, RequestTotals> bySecond = new TreeMap<>();
    private final Map<String, RequestTotals> byClass = new TreeMap<>();
    private final Map<String, RequestTotals> byZone = new TreeMap<>();
    private final Map<String, Map<Long, RequestTotals>> byZoneAndSecond = new TreeMap<>();

    RequestFigures(List<Incarnation> incarnations, FleetTopology topology) {
        for (Incarnation incarnation : incarnations) {
            Map<Long, RequestTotals> zoneSeconds =
                    byZoneAndSecond.computeIfAbsent(incarnation.zone(), zone -> new TreeMap<>());
            incarnation
                    .requests()
                    .totals()
                    .forEach((second, totalsByClass) -> totalsByClass.forEach((type, totals) -> {
                        totals.weighRequests(topology.weight(type));
                        total.add(totals);
                        add(bySecond, second, totals);
                        add(byClass, type, totals);
                        add(byZone, incarnation.zone(), totals);
                        add(zoneSeconds, second, totals);
                    }));
        }
    }

    private static <K> void add(Map<K, RequestTotals> sums, K key, RequestTotals totals) {
        sums.computeIfAbsent(key, missing -> new RequestTotals()).add(totals);
    }

    RequestTotals total() {
        return total;
    }

    Map<Long, RequestTotals> bySecond() {
        return bySecond;
    }

    Map<String, RequestTotals> byClass() {
        return byClass;
    }

    Map<String, RequestTotals> byZone() {
        return byZone;
    }

    Map<String, Map<Long, RequestTotals>> byZoneAndSecond() {
        return byZoneAndSecond;
    }
}
