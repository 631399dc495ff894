package petrelplank.report;

import java.util.Locale;
import petrelplank.analysis.IncidentTimeline;
import petrelplank.analysis.RequestTotals;
import petrelplank.record.ResponseKind;

/** The key figures of the incident, one a card. */
record KeyFiguresSection(IncidentTimeline timeline) implements PageSection {
    @Override
    public void write(HtmlWriter html) {
        RequestTotals total = timeline.total();
        String unknown = timeline.unknown() > 0 ? " (" + timeline.unknown() + " unknown)" : "";
        html.markup("<dl class=\"cards\">");
        card(html, "Worth earned", Labels.percent(total.earnedShare()));
        card(html, "Requests", grouped(total.asked()));
        card(html, "In time", grouped(total.inTime()));
        card(html, "Rejected", grouped(total.count(ResponseKind.REJECTED)));
        card(html, "Failed", grouped(total.count(ResponseKind.FAILED)));
        card(html, "Unanswered", timeline.unanswered() + unknown);
        card(html, "Late sends after a drain", Long.toString(timeline.lateSends()));
        card(html, "Stale after a purge", Long.toString(timeline.staleResponses()));
        html.markup("</dl>");
    }

    private static void card(HtmlWriter html, String name, String value) {
        html.markup("<div><dt>" + HtmlWriter.escape(name) + "</dt><dd>" + HtmlWriter.escape(value) + "</dd></div>");
    }

    private static String grouped(long count) {
        return String.format(Locale.ROOT, "%,d", count);
    }
}
