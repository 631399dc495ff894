package petrelplank.report;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongToDoubleFunction;
import petrelplank.analysis.Finding;
import petrelplank.analysis.IncidentTimeline;
import petrelplank.analysis.RequestTotals;
import petrelplank.analysis.UnixTime;

/** What all sections of the page are written from. */
final class ReportData {
    private static final double SECOND_US = UnixTime.SECOND_US;

    private final IncidentTimeline timeline;
    private final List<Finding> findings;
    private final List<String> unreadable;
    private final long firstSecond;
    private final long lastSecond;
    private final List<Long> incompleteSeconds;

    ReportData(IncidentTimeline timeline, List<Finding> findings, List<String> unreadable) {
        this.timeline = timeline;
        this.findings = findings;
        this.unreadable = unreadable;
        this.firstSecond = UnixTime.second(timeline.firstUs());
        this.lastSecond = UnixTime.second(timeline.lastUs());
        this.incompleteSeconds = timeline.incompleteSeconds();
    }

    IncidentTimeline timeline() {
        return timeline;
    }

    List<Finding> findings() {
        return findings;
    }

    /** What could not be read, a line each. */
    List<String> unreadable() {
        return unreadable;
    }

    List<Long> incompleteSeconds() {
        return incompleteSeconds;
    }

    /** Seconds from the first to the last of the records. */
    long lengthS() {
        return lastSecond - firstSecond;
    }

    /** Seconds from the start of the records' first second. */
    double sinceStartS(long unixUs) {
        return unixUs / SECOND_US - firstSecond;
    }

    /** Draws a chart over all seconds. */
    String draw(StepChart chart) {
        return chart.toSvg(firstSecond, lastSecond);
    }

    /** A figure for every second. */
    Map<Long, Double> everySecond(LongToDoubleFunction figure) {
        Map<Long, Double> points = new TreeMap<>();
        for (long second = firstSecond; second <= lastSecond; second++) {
            points.put(second, figure.applyAsDouble(second));
        }
        return points;
    }

    /** A figure for every second of which all entries are there. */
    Map<Long, Double> everyCompleteSecond(LongToDoubleFunction figure) {
        Map<Long, Double> points = everySecond(figure);
        incompleteSeconds.forEach(points::remove);
        return points;
    }

    /** The priority weight that was asked and earned, by second. */
    StepChart worthChart(String title, Map<Long, RequestTotals> requestsBySecond) {
        return new StepChart(
                title,
                "worth",
                List.of(
                        new StepChart.Line("asked", everyCompleteSecond(second -> {
                            RequestTotals totals = requestsBySecond.get(second);
                            return totals == null ? 0 : totals.worthAsked();
                        })),
                        new StepChart.Line("earned", everyCompleteSecond(second -> {
                            RequestTotals totals = requestsBySecond.get(second);
                            return totals == null ? 0 : totals.worthEarned();
                        }))));
    }
}
