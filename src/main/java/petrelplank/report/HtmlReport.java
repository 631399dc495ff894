package petrelplank.report;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import petrelplank.analysis.Diagnosis;
import petrelplank.analysis.EndpointStatistics;
import petrelplank.analysis.Finding;
import petrelplank.analysis.FleetSnapshot;
import petrelplank.analysis.Incarnation;
import petrelplank.analysis.IncidentTimeline;
import petrelplank.analysis.RequestTotals;
import petrelplank.record.Event;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.EndpointState;

/** The report as one HTML page that needs nothing else. */
public final class HtmlReport {
    private static final double S = 1e6;
    private static final int MOST_ROWS = 60;
    private static final Map<String, String> WHY = Map.of(
            "time",
            "too little of its time was left",
            "origin-short",
            "the central stock is short, and its writes are shed",
            "attempts",
            "it had had all its attempts",
            "may-have-run",
            "an attempt may have run, and it may not run twice",
            "no-retry",
            "the retry budget was used up, or its errors were its own",
            "no-server",
            "no server might take it",
            "no-fill",
            "no fill might be made for it, and no cache held it");

    private final IncidentTimeline course;
    private final List<Finding> findings;
    private final List<String> troubles;
    private final HtmlWriter html = new HtmlWriter();
    private final long fromS;
    private final long toS;
    private final List<Long> incomplete;

    private HtmlReport(IncidentTimeline course, List<Finding> findings, List<String> troubles) {
        this.course = course;
        this.findings = findings;
        this.troubles = troubles;
        this.fromS = course.spanUs()[0] / 1_000_000;
        this.toS = course.spanUs()[1] / 1_000_000;
        this.incomplete = course.incomplete();
    }

    /**
     * Writes the page.
     *
     * @param course the figures
     * @param findings what went wrong
     * @param troubles what could not be read
     * @return HTML
     */
    public static String of(IncidentTimeline course, List<Finding> findings, List<String> troubles) {
        HtmlReport page = new HtmlReport(course, findings, troubles);
        page.write();
        return page.html.toString();
    }

    private static String style() {
        try (InputStream in = HtmlReport.class.getResourceAsStream("/petrelplank/report/page.css")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void write() {
        html.raw("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">")
                .raw("<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">")
                .raw("<meta name=\"color-scheme\" content=\"light dark\">")
                .tag("title", "Fleet and incident, " + day() + " " + Diagnosis.clock(course.spanUs()[0]))
                .raw("<style>" + style() + "</style></head><body>")
                .raw("<a class=\"skip\" href=\"#findings\">To the findings</a><header>")
                .tag("h1", "Fleet and incident")
                .tag(
                        "p",
                        day() + ", " + Diagnosis.clock(course.spanUs()[0]) + " to "
                                + Diagnosis.clock(course.spanUs()[1]) + " UTC, by the fronts' own clocks. "
                                + course.entries() + " records of "
                                + course.lives().size() + " lives of fronts.")
                .raw(
                        "</header><nav aria-label=\"Sections\"><a href=\"#findings\">Findings</a> <a href=\"#course\">Course</a>"
                                + " <a href=\"#fleet\">Fleet</a> <a href=\"#branches\">Branches</a> <a href=\"#fronts\">Fronts</a>"
                                + " <a href=\"#servers\">Servers</a></nav><main>");
        cards();
        doubt();
        findings();
        course();
        fleet();
        branches();
        fronts();
        servers();
        html.raw("</main></body></html>");
    }

    private String day() {
        return java.time.Instant.ofEpochMilli(course.spanUs()[0] / 1000)
                .toString()
                .substring(0, 10);
    }

    private void card(String name, String value) {
        html.raw("<div><dt>" + HtmlWriter.text(name) + "</dt><dd>" + HtmlWriter.text(value) + "</dd></div>");
    }

    private void cards() {
        RequestTotals all = course.total();
        html.raw("<dl class=\"cards\">");
        card("Worth earned", TextSummary.share(all.service()));
        card("Requests", String.format(Locale.ROOT, "%,d", all.asked()));
        card("In time", String.format(Locale.ROOT, "%,d", all.inTime()));
        card("Refused", String.format(Locale.ROOT, "%,d", all.count(Event.ResponseKind.REJECTED)));
        card("Failed", String.format(Locale.ROOT, "%,d", all.count(Event.ResponseKind.FAILED)));
        card(
                "No final answer",
                course.unanswered() + (course.unknown() > 0 ? " (" + course.unknown() + " unknown)" : ""));
        card("Sends after a drain", Long.toString(course.lateDrain()));
        card("From before a purge", Long.toString(course.latePurge()));
        html.raw("</dl>");
    }

    private void doubt() {
        if (!incomplete.isEmpty() || !troubles.isEmpty()) {
            html.raw("<section class=\"doubt\" aria-label=\"What is missing\">");
            if (!incomplete.isEmpty()) {
                html.tag(
                        "p",
                        "Records are missing in " + incomplete.size() + " seconds. Their figures are too small by"
                                + " an unknown amount, and are not drawn.");
            }
            troubles.forEach(t -> html.tag("p", t));
            html.raw("</section>");
        }
    }

    private void findings() {
        html.raw("<section id=\"findings\">").tag("h2", "Findings");
        if (findings.isEmpty()) {
            html.tag("p", "Nothing was found to have gone wrong.");
        } else {
            html.raw("<ol>");
            for (Finding f : findings) {
                html.raw("<li><h3>" + HtmlWriter.text(name(f)) + (f.servers().isEmpty() ? "" : ": ")
                        + links(f.servers()) + "</h3>");
                html.tag(
                        "p",
                        Diagnosis.clock(f.fromUs()) + " to " + Diagnosis.clock(f.toUs())
                                + String.format(
                                        Locale.ROOT,
                                        " (%.1f s%s), worth lost meanwhile %.1f",
                                        (f.toUs() - f.fromUs()) / S,
                                        f.slackUs() < 100_000
                                                ? ""
                                                : String.format(
                                                        Locale.ROOT, ", the end give or take %.1f s", f.slackUs() / S),
                                        f.worth()));
                html.raw("<ul>");
                f.evidence().forEach(e -> html.tag("li", e));
                html.raw("</ul></li>");
            }
            html.raw("</ol>");
        }
        html.raw("</section>");
    }

    private static String name(Finding f) {
        String words = TextSummary.kind(f);
        return Character.toUpperCase(words.charAt(0)) + words.substring(1);
    }

    private String links(List<String> ids) {
        List<String> all = new ArrayList<>();
        ids.forEach(id -> all.add("<a href=\"#" + HtmlWriter.id(id) + "\">" + HtmlWriter.text(id) + "</a>"));
        return String.join(", ", all);
    }

    private Map<Long, Double> perSecond(Map<Long, RequestTotals> of, Function<RequestTotals, Double> figure) {
        Map<Long, Double> points = new TreeMap<>();
        for (long s = fromS; s <= toS; s++) {
            points.put(s, of.containsKey(s) ? figure.apply(of.get(s)) : 0.0);
        }
        incomplete.forEach(points::remove);
        return points;
    }

    private void figure(String caption, String svg) {
        html.raw("<figure><figcaption>" + HtmlWriter.text(caption) + "</figcaption>" + svg + "</figure>");
    }

    private void course() {
        html.raw("<section id=\"course\">").tag("h2", "Course");
        timeline();
        figure(
                "Worth asked and earned, a second",
                SvgDrawing.steps(
                        "Worth asked and earned in each second",
                        "worth",
                        List.of(
                                new SvgDrawing.Line("asked", perSecond(course.seconds(), RequestTotals::worthAsked)),
                                new SvgDrawing.Line("earned", perSecond(course.seconds(), RequestTotals::worthEarned))),
                        fromS,
                        toS));
        figure(
                "Final answers that were not served, a second",
                SvgDrawing.steps(
                        "Refused and failed in each second",
                        "requests",
                        List.of(
                                new SvgDrawing.Line("refused", perSecond(course.seconds(), s ->
                                        (double) s.count(Event.ResponseKind.REJECTED))),
                                new SvgDrawing.Line("failed", perSecond(course.seconds(), s ->
                                        (double) s.count(Event.ResponseKind.FAILED)))),
                        fromS,
                        toS));
        Map<Long, Double> calls = new TreeMap<>();
        Map<Long, Double> failed = new TreeMap<>();
        for (long s = fromS; s <= toS; s++) {
            long[] c = course.central().getOrDefault(s, new long[2]);
            calls.put(s, (double) c[0]);
            failed.put(s, (double) c[1]);
        }
        incomplete.forEach(calls::remove);
        incomplete.forEach(failed::remove);
        figure(
                "Calls of the central stock that answers told of, a second",
                SvgDrawing.steps(
                        "Calls of the central stock",
                        "calls",
                        List.of(new SvgDrawing.Line("calls", calls), new SvgDrawing.Line("failed", failed)),
                        fromS,
                        toS));
        figure(
                "Requests open at all fronts, and how late their event threads were at most",
                SvgDrawing.steps(
                        "Open requests and lateness",
                        "requests; ms",
                        List.of(
                                new SvgDrawing.Line("open", known(course.open(), 1)),
                                new SvgDrawing.Line("ms late", known(course.lateUs(), 1000))),
                        fromS,
                        toS));
        why();
        html.raw("</section>");
    }

    private static Map<Long, Double> known(Map<Long, Long> figures, double unit) {
        Map<Long, Double> points = new TreeMap<>();
        figures.forEach((second, figure) -> points.put(second, figure / unit));
        return points;
    }

    private void why() {
        if (course.givenUp().isEmpty() && course.turnedAway().isEmpty()) {
            return;
        }
        html.head("Why requests were not served", "Reason", "Requests", "Who");
        course.givenUp().forEach((why, n) -> html.row(null, WHY.getOrDefault(why, why), n, "the router"));
        course.turnedAway()
                .forEach((told, n) ->
                        html.row(null, "told " + told + " before the router saw it", n, "the front's own limits"));
        html.end();
    }

    private void timeline() {
        List<String> rows = new ArrayList<>();
        List<SvgDrawing.Bar> bars = new ArrayList<>();
        for (Finding f : findings) {
            if (rows.size() < MOST_ROWS) {
                bars.add(new SvgDrawing.Bar(rows.size(), f.fromUs() / S - fromS, f.toUs() / S - fromS, 1));
                rows.add(name(f) + (f.servers().size() == 1 ? " " + f.servers().get(0) : ""));
            }
        }
        course.drainsToldUs().forEach((id, times) -> {
            if (rows.size() < MOST_ROWS) {
                bars.add(new SvgDrawing.Bar(
                        rows.size(),
                        times.stream().mapToLong(t -> t).min().orElse(0) / S - fromS,
                        toS + 1.0 - fromS,
                        2));
                rows.add("Drain of " + id);
            }
        });
        Map<Long, List<Long>> purges = course.purgesToldUs();
        if (!purges.isEmpty()) {
            purges.forEach((i, times) -> bars.add(new SvgDrawing.Bar(
                    rows.size(),
                    times.stream().mapToLong(t -> t).min().orElse(0) / S - fromS,
                    times.stream().mapToLong(t -> t).max().orElse(0) / S - fromS,
                    3)));
            rows.add("Purges told");
        }
        Map<String, Integer> fronts = new LinkedHashMap<>();
        for (Incarnation life : course.lives()) {
            if (fronts.containsKey(life.front()) || rows.size() < MOST_ROWS) {
                int row = fronts.computeIfAbsent(life.front(), f -> {
                    rows.add(f);
                    return rows.size() - 1;
                });
                bars.add(new SvgDrawing.Bar(row, life.firstUs() / S - fromS, life.lastUs() / S - fromS, 0));
            }
        }
        figure(
                "Findings, drains, purges and lives of fronts",
                SvgDrawing.timeline(
                        "Findings, drains, purges and lives of " + "fronts over time", rows, bars, toS - fromS));
        if (rows.size() >= MOST_ROWS) {
            html.tag("p", "Only the first " + MOST_ROWS + " rows are drawn.");
        }
    }

    private void fleet() {
        html.raw("<section id=\"fleet\">")
                .tag("h2", "Fleet")
                .head(
                        "Servers as last listed, and how they answered",
                        "Server",
                        "Where",
                        "Kind",
                        "Listed",
                        "Sent",
                        "Served",
                        "Errors",
                        "Full",
                        "Lacked",
                        "No answer",
                        "Median ms",
                        "99th ms",
                        "Fills by way of it",
                        "Fills failed",
                        "Findings");
        course.servers().forEach((id, s) -> {
            EndpointStatistics p = course.peers().get(id);
            String found = String.join(
                    ", ",
                    findings.stream()
                            .filter(f -> f.servers().contains(id))
                            .map(TextSummary::kind)
                            .distinct()
                            .toList());
            if (p == null) {
                html.row(null, id, s.zone(), s.kind(), state(s.state()), 0L, 0L, 0L, 0L, 0L, 0L, "", "", 0L, 0L, found);
            } else {
                html.row(
                        id,
                        id,
                        s.zone(),
                        s.kind(),
                        state(s.state()),
                        p.sent(),
                        p.ended(AttemptStatus.OK),
                        p.ended(AttemptStatus.ERROR),
                        p.ended(AttemptStatus.REJECTED),
                        p.ended(AttemptStatus.MISS),
                        p.withdrawn() + p.ended(AttemptStatus.CONNECT_FAILED) + p.ended(AttemptStatus.RESET),
                        p.sent() == 0 ? "" : p.answeredMs(50),
                        p.sent() == 0 ? "" : p.answeredMs(99),
                        p.fills(),
                        p.fillsFailed(),
                        found);
            }
        });
        html.end();
        then();
        html.raw("</section>");
    }

    /** The fleet in the second that lost most worth, as the fronts were told and believed. */
    private void then() {
        long at = FleetSnapshot.worstUs(course);
        html.head(
                "At " + Diagnosis.clock(at) + ", in the second that lost most worth: fronts that had been told each "
                        + "state, and that left it out",
                "Server",
                "Up",
                "Draining",
                "Gone",
                "Left out by",
                "Findings then");
        FleetSnapshot.at(course, findings, at)
                .forEach((id, s) -> html.row(
                        course.peers().containsKey(id) ? id : null,
                        id,
                        (long) s.told().getOrDefault(EndpointState.UP, 0),
                        (long) s.told().getOrDefault(EndpointState.DRAINING, 0),
                        (long) s.told().getOrDefault(EndpointState.REMOVED, 0),
                        String.join(", ", s.outAt()),
                        String.join(
                                ", ",
                                s.troubles().stream().map(TextSummary::kind).toList())));
        html.end();
    }

    private static String state(EndpointState state) {
        return switch (state) {
            case UP -> "up";
            case DRAINING -> "draining";
            case REMOVED -> "gone";
        };
    }

    private void sums(String caption, String first, Map<String, RequestTotals> of) {
        html.head(
                caption,
                first,
                "Asked",
                "Served",
                "Refused",
                "Failed",
                "In time",
                "Worth asked",
                "Worth earned",
                "Share");
        of.forEach((name, s) -> html.row(
                null,
                name,
                s.asked(),
                s.count(Event.ResponseKind.SERVED) + s.count(Event.ResponseKind.NOT_MODIFIED),
                s.count(Event.ResponseKind.REJECTED),
                s.count(Event.ResponseKind.FAILED),
                s.inTime(),
                s.worthAsked(),
                s.worthEarned(),
                TextSummary.share(s.service())));
        html.end();
    }

    private void branches() {
        html.raw("<section id=\"branches\">").tag("h2", "Branches and classes");
        sums("By class", "Class", course.classes());
        sums("By branch", "Branch", course.branches());
        course.branchSeconds().forEach((branch, seconds) -> {
            html.raw(
                    "<details id=\"" + HtmlWriter.id(branch) + "\"><summary>" + HtmlWriter.text(branch) + "</summary>");
            figure(
                    "Worth asked and earned at " + branch,
                    SvgDrawing.steps(
                            "Worth at " + branch,
                            "worth",
                            List.of(
                                    new SvgDrawing.Line("asked", perSecond(seconds, RequestTotals::worthAsked)),
                                    new SvgDrawing.Line("earned", perSecond(seconds, RequestTotals::worthEarned))),
                            fromS,
                            toS));
            html.raw("</details>");
        });
        html.raw("</section>");
    }

    private void fronts() {
        html.raw("<section id=\"fronts\">")
                .tag("h2", "Fronts")
                .head(
                        "Lives of fronts",
                        "Front",
                        "Branch",
                        "From",
                        "To",
                        "Ended",
                        "Records missing",
                        "Lost by the writer");
        for (Incarnation life : course.lives()) {
            html.row(
                    null,
                    life.front(),
                    life.branch(),
                    Diagnosis.clock(life.firstUs()),
                    Diagnosis.clock(life.lastUs()),
                    life.end(),
                    life.gaps().stream()
                            .mapToLong(g -> g.last() - g.first() + 1)
                            .sum(),
                    life.lostEvents());
        }
        html.end().raw("</section>");
    }

    private void servers() {
        html.raw("<section id=\"servers\">").tag("h2", "Servers");
        course.peers().forEach((id, p) -> {
            html.raw("<details id=\"" + HtmlWriter.id(id) + "\"><summary>" + HtmlWriter.text(id) + "</summary>");
            Map<Long, Double> sent = new TreeMap<>();
            Map<Long, Double> good = new TreeMap<>();
            Map<Long, Double> other = new TreeMap<>();
            for (long s = fromS; s <= toS; s++) {
                long[] c = p.seconds().getOrDefault(s, new long[3]);
                sent.put(s, (double) c[0]);
                good.put(s, (double) c[1]);
                other.put(s, (double) c[2]);
            }
            figure(
                    "Attempts a second at " + id,
                    SvgDrawing.steps(
                            "Attempts at " + id,
                            "attempts",
                            List.of(
                                    new SvgDrawing.Line("sent", sent),
                                    new SvgDrawing.Line("served", good),
                                    new SvgDrawing.Line("other answers", other)),
                            fromS,
                            toS));
            html.raw("</details>");
        });
        html.raw("</section>");
    }
}
