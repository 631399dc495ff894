package petrelplank.report;

import java.util.Map;
import petrelplank.analysis.RequestTotals;
import petrelplank.record.ResponseKind;

/** Requests by class and by zone. */
record ZonesSection(ReportData data) implements PageSection {
    @Override
    public void write(HtmlWriter html) {
        html.beginSection("branches", "Zones and classes");
        writeTotals(html, "By class", "Class", data.timeline().requestsByClass());
        writeTotals(html, "By zone", "Zone", data.timeline().requestsByZone());
        data.timeline()
                .requestsByZoneAndSecond()
                .forEach((zone, requestsBySecond) -> html.foldedFigure(
                        zone,
                        "Worth asked and earned at " + zone,
                        data.draw(data.worthChart("Worth at " + zone, requestsBySecond))));
        html.endSection();
    }

    private static void writeTotals(
            HtmlWriter html, String caption, String nameColumn, Map<String, RequestTotals> totalsByName) {
        html.beginTable(
                caption,
                nameColumn,
                "Asked",
                "Served",
                "Rejected",
                "Failed",
                "In time",
                "Worth asked",
                "Worth earned",
                "Share");
        totalsByName.forEach((name, totals) -> html.row(
                name,
                totals.asked(),
                totals.count(ResponseKind.SERVED) + totals.count(ResponseKind.NOT_MODIFIED),
                totals.count(ResponseKind.REJECTED),
                totals.count(ResponseKind.FAILED),
                totals.inTime(),
                totals.worthAsked(),
                totals.worthEarned(),
                Labels.percent(totals.earnedShare())));
        html.endTable();
    }
}
