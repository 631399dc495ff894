package petrelplank.report;

import java.util.List;
import java.util.Locale;
import petrelplank.analysis.Finding;
import petrelplank.analysis.IncidentTimeline;
import petrelplank.analysis.RequestTotals;
import petrelplank.analysis.UnixTime;
import petrelplank.record.ResponseKind;

/** The report in a terminal: some lines of text. */
public final class TextSummary {
    private final StringBuilder text = new StringBuilder();

    private TextSummary() {}

    /**
     * Writes the summary.
     *
     * @param timeline the figures
     * @param findings what went wrong
     * @return lines
     */
    public static String of(IncidentTimeline timeline, List<Finding> findings) {
        TextSummary summary = new TextSummary();
        summary.addRecords(timeline);
        summary.addRequests(timeline.total());
        summary.addRuleViolations(timeline);
        summary.addMissingRecords(timeline);
        summary.addLine(findings.isEmpty() ? "no findings" : "findings:");
        findings.forEach(summary::addFinding);
        return summary.text.toString();
    }

    private void addLine(String format, Object... values) {
        text.append(String.format(Locale.ROOT, format, values)).append(System.lineSeparator());
    }

    private void addRecords(IncidentTimeline timeline) {
        addLine(
                "%s to %s UTC, %d entries of %d lives",
                UnixTime.timeOfDay(timeline.firstUs()),
                UnixTime.timeOfDay(timeline.lastUs()),
                timeline.entries(),
                timeline.incarnations().size());
    }

    private void addRequests(RequestTotals total) {
        addLine(
                "asked %d, served %d, refused %d, failed %d; worth %.1f of %.1f (%s)",
                total.asked(),
                total.count(ResponseKind.SERVED) + total.count(ResponseKind.NOT_MODIFIED),
                total.count(ResponseKind.REJECTED),
                total.count(ResponseKind.FAILED),
                total.worthEarned(),
                total.worthAsked(),
                Labels.percent(total.earnedShare()));
    }

    private void addRuleViolations(IncidentTimeline timeline) {
        addLine(
                "unanswered %d, late sends %d, answers from before a purge %d, answered twice %d",
                timeline.unanswered(), timeline.lateSends(), timeline.staleResponses(), timeline.duplicateResponses());
    }

    private void addMissingRecords(IncidentTimeline timeline) {
        int incompleteSeconds = timeline.incompleteSeconds().size();
        if (incompleteSeconds > 0 || timeline.unknown() > 0) {
            addLine(
                    "records are missing in %d seconds: their figures are too small; %d requests unknown",
                    incompleteSeconds, timeline.unknown());
        }
    }

    private void addFinding(Finding finding) {
        addLine(
                "  %s  %s%s  from %s to %s, worth %.1f",
                Labels.of(finding.kind()),
                String.join(", ", finding.servers()),
                finding.servers().isEmpty() ? "" : " ",
                UnixTime.timeOfDay(finding.fromUs()),
                UnixTime.timeOfDay(finding.toUs()),
                finding.worth());
        finding.evidence().forEach(line -> addLine("      %s", line));
    }
}
