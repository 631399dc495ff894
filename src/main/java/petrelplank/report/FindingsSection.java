package petrelplank.report;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import petrelplank.analysis.Finding;
import petrelplank.analysis.UnixTime;

/** The findings with their evidence. */
record FindingsSection(List<Finding> findings) implements PageSection {
    private static final double SECOND_US = UnixTime.SECOND_US;
    /** An end that is known to less than this is shown without its slack. */
    private static final long MIN_SLACK_US = 100_000;

    @Override
    public void write(HtmlWriter html) {
        html.beginSection("findings", "Findings");
        if (findings.isEmpty()) {
            html.element("p", "Nothing was found to have gone wrong.");
        } else {
            html.markup("<ol>");
            findings.forEach(finding -> write(html, finding));
            html.markup("</ol>");
        }
        html.endSection();
    }

    private static void write(HtmlWriter html, Finding finding) {
        String links = finding.servers().stream().map(HtmlWriter::link).collect(Collectors.joining(", "));
        String separator = finding.servers().isEmpty() ? "" : ": ";
        html.markup("<li><h3>" + HtmlWriter.escape(Labels.heading(finding)) + separator + links + "</h3>")
                .element("p", duration(finding))
                .markup("<ul>");
        finding.evidence().forEach(line -> html.element("li", line));
        html.markup("</ul></li>");
    }

    private static String duration(Finding finding) {
        String slack = finding.slackUs() < MIN_SLACK_US
                ? ""
                : String.format(Locale.ROOT, ", the end give or take %.1f s", finding.slackUs() / SECOND_US);
        return UnixTime.timeOfDay(finding.fromUs()) + " to " + UnixTime.timeOfDay(finding.toUs())
                + String.format(
                        Locale.ROOT,
                        " (%.1f s%s), worth lost meanwhile %.1f",
                        (finding.toUs() - finding.fromUs()) / SECOND_US,
                        slack,
                        finding.worth());
    }
}
