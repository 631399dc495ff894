package petrelplank.report;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import petrelplank.analysis.Finding;
import petrelplank.analysis.IncidentTimeline;
import petrelplank.analysis.UnixTime;

/** The report as one HTML page that needs nothing else. */
public final class HtmlReport {
    private static final String STYLE_SHEET = "/petrelplank/report/page.css";

    private HtmlReport() {}

    /**
     * Writes the page.
     *
     * @param timeline the figures
     * @param findings what went wrong
     * @param unreadable what could not be read
     * @return HTML
     */
    public static String of(IncidentTimeline timeline, List<Finding> findings, List<String> unreadable) {
        ReportData data = new ReportData(timeline, findings, unreadable);
        List<PageSection> sections = List.of(
                new KeyFiguresSection(timeline),
                new MissingRecordsSection(data),
                new FindingsSection(findings),
                new OverviewSection(data),
                new FleetSection(data),
                new ZonesSection(data),
                new ProxiesSection(timeline),
                new EndpointsSection(data));
        HtmlWriter html = new HtmlWriter();
        writeHead(html, timeline);
        writeHeader(html, timeline);
        sections.forEach(section -> section.write(html));
        html.markup("</main></body></html>");
        return html.toString();
    }

    private static void writeHead(HtmlWriter html, IncidentTimeline timeline) {
        String start = UnixTime.date(timeline.firstUs()) + " " + UnixTime.timeOfDay(timeline.firstUs());
        html.markup("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">")
                .markup("<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">")
                .markup("<meta name=\"color-scheme\" content=\"light dark\">")
                .element("title", "Fleet and incident, " + start)
                .markup("<style>" + styleSheet() + "</style></head><body>");
    }

    private static void writeHeader(HtmlWriter html, IncidentTimeline timeline) {
        html.markup("<a class=\"skip\" href=\"#findings\">To the findings</a><header>")
                .element("h1", "Fleet and incident")
                .element(
                        "p",
                        UnixTime.date(timeline.firstUs()) + ", " + UnixTime.timeOfDay(timeline.firstUs()) + " to "
                                + UnixTime.timeOfDay(timeline.lastUs()) + " UTC, by the fronts' own clocks. "
                                + timeline.entries() + " records of "
                                + timeline.incarnations().size() + " lives of fronts.")
                .markup("</header><nav aria-label=\"Sections\"><a href=\"#findings\">Findings</a>"
                        + " <a href=\"#course\">Course</a> <a href=\"#fleet\">Fleet</a>"
                        + " <a href=\"#branches\">Zones</a> <a href=\"#fronts\">Proxies</a>"
                        + " <a href=\"#servers\">Endpoints</a></nav><main>");
    }

    private static String styleSheet() {
        try (InputStream in = HtmlReport.class.getResourceAsStream(STYLE_SHEET)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
