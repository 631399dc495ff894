package petrelplank.report;

import petrelplank.analysis.Incarnation;
import petrelplank.analysis.IncidentTimeline;
import petrelplank.analysis.UnixTime;

/** The incarnations of proxies. */
record ProxiesSection(IncidentTimeline timeline) implements PageSection {
    @Override
    public void write(HtmlWriter html) {
        html.beginSection("fronts", "Proxies")
                .beginTable(
                        "Incarnations of proxies",
                        "Proxy",
                        "Zone",
                        "From",
                        "To",
                        "Ended",
                        "Records missing",
                        "Lost by the writer");
        for (Incarnation incarnation : timeline.incarnations()) {
            html.row(
                    incarnation.proxy(),
                    incarnation.zone(),
                    UnixTime.timeOfDay(incarnation.firstUs()),
                    UnixTime.timeOfDay(incarnation.lastUs()),
                    incarnation.end(),
                    incarnation.missingEntries(),
                    incarnation.lostEvents());
        }
        html.endTable().endSection();
    }
}
