package petrelplank.analysis;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import petrelplank.record.ListedEndpoint;
import petrelplank.routing.EndpointState;

/** The fleet at a time, as the proxies that ran then had been notified and believed. */
public final class FleetSnapshot {
    /**
     * An endpoint at a time.
     *
     * @param id its id
     * @param zone where it stands
     * @param proxiesByState proxies by the state that each had last been notified of; empty where none had heard of it
     * @param ejectedBy proxies that had ejected it
     * @param startedUs its late start, where it had one before then; else 0
     * @param faults findings that it was in
     */
    public record EndpointStatus(
            String id,
            String zone,
            Map<EndpointState, Integer> proxiesByState,
            List<String> ejectedBy,
            long startedUs,
            List<Finding.Kind> faults) {}

    private FleetSnapshot() {}

    /**
     * The endpoints at a time.
     *
     * @param timeline what is known
     * @param findings what went wrong
     * @param unixUs Unix microseconds
     * @return by id
     */
    public static Map<String, EndpointStatus> at(IncidentTimeline timeline, List<Finding> findings, long unixUs) {
        List<Incarnation> running = timeline.incarnations().stream()
                .filter(incarnation -> incarnation.firstUs() <= unixUs && incarnation.lastUs() >= unixUs)
                .toList();
        Map<String, EndpointStatus> fleet = new TreeMap<>();
        for (ListedEndpoint endpoint : timeline.listedEndpoints().values()) {
            fleet.put(endpoint.id(), status(endpoint, running, findings, unixUs));
        }
        return fleet;
    }

    private static EndpointStatus status(
            ListedEndpoint endpoint, List<Incarnation> running, List<Finding> findings, long unixUs) {
        Map<EndpointState, Integer> proxiesByState = new TreeMap<>();
        TreeSet<String> ejectedBy = new TreeSet<>();
        for (Incarnation incarnation : running) {
            EndpointState state = incarnation.endpointNotifications().stateAt(endpoint.id(), unixUs);
            if (state != null) {
                proxiesByState.merge(state, 1, Integer::sum);
            }
            if (incarnation.health(endpoint.id()).isEjectedAt(unixUs)) {
                ejectedBy.add(incarnation.proxy());
            }
        }
        List<Finding.Kind> faults = findings.stream()
                .filter(finding -> finding.servers().contains(endpoint.id())
                        && finding.fromUs() <= unixUs
                        && unixUs <= finding.toUs())
                .map(Finding::kind)
                .distinct()
                .toList();
        boolean started = endpoint.startedUs() > 0 && endpoint.startedUs() <= unixUs;
        return new EndpointStatus(
                endpoint.id(),
                endpoint.zone(),
                proxiesByState,
                new ArrayList<>(ejectedBy),
                started ? endpoint.startedUs() : 0,
                faults);
    }

    /**
     * The middle of the second that lost most priority weight.
     *
     * @param timeline what is known
     * @return Unix microseconds; 0 where nothing was asked
     */
    public static long worstUs(IncidentTimeline timeline) {
        long worstUs = 0;
        double mostLost = -1;
        for (Map.Entry<Long, RequestTotals> entry : timeline.requestsBySecond().entrySet()) {
            RequestTotals totals = entry.getValue();
            double lost = totals.worthAsked() - totals.worthEarned();
            if (totals.asked() > 0 && lost > mostLost) {
                mostLost = lost;
                worstUs = entry.getKey() * UnixTime.SECOND_US + UnixTime.SECOND_US / 2;
            }
        }
        return worstUs;
    }
}
