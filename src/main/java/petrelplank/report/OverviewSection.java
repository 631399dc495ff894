package petrelplank.report;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import petrelplank.analysis.IncidentTimeline;
import petrelplank.analysis.OriginCallCounts;
import petrelplank.analysis.RequestTotals;
import petrelplank.record.ResponseKind;

/** What happened when, and the figures of the whole fleet by second. */
final class OverviewSection implements PageSection {
    private static final double MILLISECOND_US = 1000;

    private final ReportData data;
    private final IncidentTimeline timeline;

    OverviewSection(ReportData data) {
        this.data = data;
        this.timeline = data.timeline();
    }

    @Override
    public void write(HtmlWriter html) {
        html.beginSection("course", "Course");
        EventTimeline.of(data).write(html, data.lengthS());
        html.figure(
                "Worth asked and earned, per second",
                data.draw(data.worthChart("Worth asked and earned in each second", timeline.requestsBySecond())));
        html.figure("Rejected and failed requests, per second", data.draw(unservedChart()));
        html.figure("Origin calls that responses reported, per second", data.draw(originCallsChart()));
        html.figure(
                "Open requests at all proxies, and the greatest delay of their event threads",
                data.draw(openRequestsChart()));
        writeReasons(html);
        html.endSection();
    }

    private StepChart unservedChart() {
        return new StepChart(
                "Rejected and failed in each second",
                "requests",
                List.of(
                        new StepChart.Line("rejected", responses(ResponseKind.REJECTED)),
                        new StepChart.Line("failed", responses(ResponseKind.FAILED))));
    }

    private Map<Long, Double> responses(ResponseKind kind) {
        return data.everyCompleteSecond(second -> {
            RequestTotals totals = timeline.requestsBySecond().get(second);
            return totals == null ? 0 : totals.count(kind);
        });
    }

    private StepChart originCallsChart() {
        return new StepChart(
                "Origin calls",
                "calls",
                List.of(
                        new StepChart.Line("calls", originCalls(OriginCallCounts::calls)),
                        new StepChart.Line("failed", originCalls(OriginCallCounts::failed))));
    }

    private Map<Long, Double> originCalls(ToDoubleFunction<OriginCallCounts> figure) {
        Map<Long, OriginCallCounts> counts = timeline.originCallsBySecond();
        return data.everyCompleteSecond(
                second -> figure.applyAsDouble(counts.getOrDefault(second, OriginCallCounts.NONE)));
    }

    private StepChart openRequestsChart() {
        return new StepChart(
                "Open requests and event thread delay",
                "requests; ms",
                List.of(
                        new StepChart.Line("open", inUnit(timeline.openRequestsBySecond(), 1)),
                        new StepChart.Line(
                                "ms late", inUnit(timeline.eventThreadLatenessUsBySecond(), MILLISECOND_US))));
    }

    private static Map<Long, Double> inUnit(Map<Long, Long> figures, double unit) {
        Map<Long, Double> points = new TreeMap<>();
        figures.forEach((second, figure) -> points.put(second, figure / unit));
        return points;
    }

    private void writeReasons(HtmlWriter html) {
        Map<String, Long> byRouter = timeline.terminationReasons();
        Map<String, Long> beforeRouting = timeline.rejectedBeforeRouting();
        if (byRouter.isEmpty() && beforeRouting.isEmpty()) {
            return;
        }
        html.beginTable("Why requests were not served", "Reason", "Requests", "Who");
        byRouter.forEach((reason, count) -> html.row(Labels.ofTerminationReason(reason), count, "the router"));
        beforeRouting.forEach((response, count) ->
                html.row("told " + response + " before the router saw it", count, "the front's own limits"));
        html.endTable();
    }
}
