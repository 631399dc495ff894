package petrelplank.report;

import java.util.Map;
import petrelplank.analysis.EndpointStatistics;
import petrelplank.analysis.Finding;
import petrelplank.analysis.FleetSnapshot;
import petrelplank.analysis.UnixTime;
import petrelplank.record.ListedEndpoint;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.EndpointState;

/** The fleet: endpoints as last listed, and in the second that lost most priority weight. */
record FleetSection(ReportData data) implements PageSection {
    private static final String[] ENDPOINT_COLUMNS = {
        "Endpoint",
        "Zone",
        "Kind",
        "Listed",
        "Sent",
        "Served",
        "Errors",
        "Rejected",
        "Misses",
        "No answer",
        "Median ms",
        "99th ms",
        "Fills as source",
        "Failed fills",
        "Findings"
    };

    @Override
    public void write(HtmlWriter html) {
        html.beginSection("fleet", "Fleet");
        writeEndpoints(html);
        writeWorstSecond(html);
        html.endSection();
    }

    private void writeEndpoints(HtmlWriter html) {
        html.beginTable("Endpoints as last listed, and how they responded", ENDPOINT_COLUMNS);
        data.timeline().listedEndpoints().forEach((id, endpoint) -> {
            EndpointStatistics statistics = data.timeline().endpoints().get(id);
            if (statistics == null) {
                writeUnused(html, endpoint);
            } else {
                writeUsed(html, endpoint, statistics);
            }
        });
        html.endTable();
    }

    private void writeUnused(HtmlWriter html, ListedEndpoint endpoint) {
        html.row(
                endpoint.id(),
                endpoint.zone(),
                endpoint.kind(),
                Labels.of(endpoint.state()),
                0L,
                0L,
                0L,
                0L,
                0L,
                0L,
                "",
                "",
                0L,
                0L,
                findingsAt(endpoint.id()));
    }

    private void writeUsed(HtmlWriter html, ListedEndpoint endpoint, EndpointStatistics statistics) {
        html.linkedRow(
                endpoint.id(),
                endpoint.zone(),
                endpoint.kind(),
                Labels.of(endpoint.state()),
                statistics.sent(),
                statistics.ended(AttemptStatus.OK),
                statistics.ended(AttemptStatus.ERROR),
                statistics.ended(AttemptStatus.REJECTED),
                statistics.ended(AttemptStatus.MISS),
                statistics.abandoned()
                        + statistics.ended(AttemptStatus.CONNECT_FAILED)
                        + statistics.ended(AttemptStatus.RESET),
                responseTime(statistics, 50),
                responseTime(statistics, 99),
                statistics.fills(),
                statistics.failedFills(),
                findingsAt(endpoint.id()));
    }

    /** Milliseconds; empty where nothing was sent. */
    private static Object responseTime(EndpointStatistics statistics, double percentile) {
        return statistics.sent() == 0 ? "" : (Object) statistics.responseTimeMs(percentile);
    }

    private String findingsAt(String endpoint) {
        return Labels.of(data.findings().stream()
                .filter(finding -> finding.servers().contains(endpoint))
                .map(Finding::kind)
                .toList());
    }

    private void writeWorstSecond(HtmlWriter html) {
        long worstUs = FleetSnapshot.worstUs(data.timeline());
        Map<String, FleetSnapshot.EndpointStatus> fleet = FleetSnapshot.at(data.timeline(), data.findings(), worstUs);
        html.beginTable(
                "At " + UnixTime.timeOfDay(worstUs)
                        + ", in the second that lost most worth: proxies that had been notified of"
                        + " each state, and that had ejected it",
                "Endpoint",
                "Up",
                "Draining",
                "Gone",
                "Ejected by",
                "Findings then");
        fleet.values().forEach(status -> writeStatus(html, status));
        html.endTable();
    }

    private void writeStatus(HtmlWriter html, FleetSnapshot.EndpointStatus status) {
        Object[] cells = {
            proxies(status, EndpointState.UP),
            proxies(status, EndpointState.DRAINING),
            proxies(status, EndpointState.REMOVED),
            String.join(", ", status.ejectedBy()),
            Labels.of(status.faults())
        };
        if (data.timeline().endpoints().containsKey(status.id())) {
            html.linkedRow(status.id(), cells);
        } else {
            html.row(status.id(), cells);
        }
    }

    private static long proxies(FleetSnapshot.EndpointStatus status, EndpointState state) {
        return status.proxiesByState().getOrDefault(state, 0);
    }
}
