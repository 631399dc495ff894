package petrelplank.report;

import java.util.List;
import java.util.Locale;
import petrelplank.analysis.Diagnosis;
import petrelplank.analysis.Finding;
import petrelplank.analysis.IncidentTimeline;
import petrelplank.analysis.RequestTotals;
import petrelplank.record.Event;

/** The report in a terminal: some lines of text. */
public final class TextSummary {
    private TextSummary() {}

    /**
     * Writes the summary.
     *
     * @param course the figures
     * @param findings what went wrong
     * @return lines
     */
    public static String of(IncidentTimeline course, List<Finding> findings) {
        StringBuilder text = new StringBuilder();
        long[] span = course.spanUs();
        RequestTotals all = course.total();
        line(
                text,
                "%s to %s UTC, %d entries of %d lives",
                time(span[0]),
                time(span[1]),
                course.entries(),
                course.lives().size());
        line(
                text,
                "asked %d, served %d, refused %d, failed %d; worth %.1f of %.1f (%s)",
                all.asked(),
                all.count(Event.ResponseKind.SERVED) + all.count(Event.ResponseKind.NOT_MODIFIED),
                all.count(Event.ResponseKind.REJECTED),
                all.count(Event.ResponseKind.FAILED),
                all.worthEarned(),
                all.worthAsked(),
                share(all.service()));
        line(
                text,
                "unanswered %d, late sends %d, answers from before a purge %d, answered twice %d",
                course.unanswered(),
                course.lateDrain(),
                course.latePurge(),
                course.surplus());
        if (!course.incomplete().isEmpty() || course.unknown() > 0) {
            line(
                    text,
                    "records are missing in %d seconds: their figures are too small; %d requests unknown",
                    course.incomplete().size(),
                    course.unknown());
        }
        line(text, findings.isEmpty() ? "no findings" : "findings:");
        for (Finding f : findings) {
            line(
                    text,
                    "  %s  %s%s  from %s to %s, worth %.1f",
                    kind(f),
                    String.join(", ", f.servers()),
                    f.servers().isEmpty() ? "" : " ",
                    time(f.fromUs()),
                    time(f.toUs()),
                    f.worth());
            f.evidence().forEach(e -> line(text, "      %s", e));
        }
        return text.toString();
    }

    private static void line(StringBuilder to, String format, Object... values) {
        to.append(String.format(Locale.ROOT, format, values)).append(System.lineSeparator());
    }

    static String kind(Finding f) {
        return kind(f.kind());
    }

    static String kind(Finding.Kind kind) {
        return kind.label().replace('-', ' ');
    }

    static String time(long us) {
        return Diagnosis.clock(us);
    }

    static String share(double part) {
        return Double.isNaN(part) ? "unknown" : String.format(Locale.ROOT, "%.2f%%", 100 * part);
    }
}
