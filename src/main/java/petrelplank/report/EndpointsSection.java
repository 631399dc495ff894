package petrelplank.report;

import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import petrelplank.analysis.AttemptCounts;

/** Attempts at each endpoint by second. */
record EndpointsSection(ReportData data) implements PageSection {
    @Override
    public void write(HtmlWriter html) {
        html.beginSection("servers", "Endpoints");
        data.timeline()
                .endpoints()
                .forEach((id, statistics) -> html.foldedFigure(
                        id, "Attempts per second at " + id, data.draw(chart(id, statistics.countsBySecond()))));
        html.endSection();
    }

    private StepChart chart(String id, Map<Long, AttemptCounts> countsBySecond) {
        return new StepChart(
                "Attempts at " + id,
                "attempts",
                List.of(
                        new StepChart.Line("sent", points(countsBySecond, AttemptCounts::sent)),
                        new StepChart.Line("served", points(countsBySecond, AttemptCounts::succeeded)),
                        new StepChart.Line("other answers", points(countsBySecond, AttemptCounts::otherResponses))));
    }

    private Map<Long, Double> points(Map<Long, AttemptCounts> countsBySecond, ToDoubleFunction<AttemptCounts> figure) {
        return data.everySecond(
                second -> figure.applyAsDouble(countsBySecond.getOrDefault(second, AttemptCounts.NONE)));
    }
}
