package petrelplank.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import petrelplank.analysis.Finding;
import petrelplank.analysis.Incarnation;

/** The chart of findings, drains, purges and incarnations of proxies over time. */
final class EventTimeline {
    private static final int MAX_ROWS = 60;

    /** Numbers of the page's colours. */
    private static final int INCARNATION_COLOUR = 0;

    private static final int FINDING_COLOUR = 1;
    private static final int DRAIN_COLOUR = 2;
    private static final int PURGE_COLOUR = 3;

    private final ReportData data;
    private final List<String> rows = new ArrayList<>();
    private final List<TimelineChart.Bar> bars = new ArrayList<>();

    private EventTimeline(ReportData data) {
        this.data = data;
    }

    static EventTimeline of(ReportData data) {
        EventTimeline events = new EventTimeline(data);
        events.addFindings();
        events.addDrains();
        events.addPurges();
        events.addIncarnations();
        return events;
    }

    void write(HtmlWriter html, long lengthS) {
        String title = "Findings, drains, purges and proxy incarnations";
        html.figure(title, new TimelineChart(title + " over time", rows, bars).toSvg(lengthS));
        if (isFull()) {
            html.element("p", "Only the first " + MAX_ROWS + " rows are drawn.");
        }
    }

    private boolean isFull() {
        return rows.size() >= MAX_ROWS;
    }

    private int addRow(String name) {
        rows.add(name);
        return rows.size() - 1;
    }

    private void addBar(int row, double fromS, double toS, int colour) {
        bars.add(new TimelineChart.Bar(row, fromS, toS, colour));
    }

    private void addFindings() {
        for (Finding finding : data.findings()) {
            if (isFull()) {
                return;
            }
            String where =
                    finding.servers().size() == 1 ? " " + finding.servers().get(0) : "";
            int row = addRow(Labels.heading(finding) + where);
            addBar(row, data.sinceStartS(finding.fromUs()), data.sinceStartS(finding.toUs()), FINDING_COLOUR);
        }
    }

    private void addDrains() {
        data.timeline().drainNotificationsUs().forEach((endpoint, timesUs) -> {
            if (!isFull()) {
                int row = addRow("Drain of " + endpoint);
                addBar(row, data.sinceStartS(earliest(timesUs)), data.lengthS() + 1.0, DRAIN_COLOUR);
            }
        });
    }

    /** All in one row, also where that is one more than fit. */
    private void addPurges() {
        Map<Long, List<Long>> purges = data.timeline().purgeNotificationsUs();
        if (purges.isEmpty()) {
            return;
        }
        int row = addRow("Purge notifications");
        purges.values()
                .forEach(timesUs -> addBar(
                        row, data.sinceStartS(earliest(timesUs)), data.sinceStartS(latest(timesUs)), PURGE_COLOUR));
    }

    private void addIncarnations() {
        Map<String, Integer> rowByProxy = new HashMap<>();
        for (Incarnation incarnation : data.timeline().incarnations()) {
            String proxy = incarnation.proxy();
            if (rowByProxy.containsKey(proxy) || !isFull()) {
                int row = rowByProxy.computeIfAbsent(proxy, this::addRow);
                addBar(
                        row,
                        data.sinceStartS(incarnation.firstUs()),
                        data.sinceStartS(incarnation.lastUs()),
                        INCARNATION_COLOUR);
            }
        }
    }

    private static long earliest(List<Long> timesUs) {
        return timesUs.stream().mapToLong(time -> time).min().orElse(0);
    }

    private static long latest(List<Long> timesUs) {
        return timesUs.stream().mapToLong(time -> time).max().orElse(0);
    }
}
