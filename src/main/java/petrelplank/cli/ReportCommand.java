package petrelplank.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import petrelplank.analysis.Diagnosis;
import petrelplank.analysis.Finding;
import petrelplank.analysis.FleetSnapshot;
import petrelplank.analysis.IncidentTimeline;
import petrelplank.analysis.RecordAggregator;
import petrelplank.record.RecordReader;
import petrelplank.report.HtmlReport;
import petrelplank.report.TextSummary;

/** {@code report}: the course of an incident from the records of fronts. */
public final class ReportCommand extends BaseCommand implements Command {
    /** Exit status where some of the files could not be read, and the report was made of the rest. */
    private static final int IN_PART = 3;

    @Argument(metaVar = "DIR", required = true, usage = "directories with records, or record files")
    private List<String> places = new ArrayList<>();

    @Option(name = "--out", metaVar = "FILE.html", usage = "the page; it needs no network")
    private File out;

    @Option(name = "--json", metaVar = "FILE", usage = "the same figures as JSON")
    private File json;

    /** For args4j, which makes it by reflection. */
    public ReportCommand() {}

    @Override
    public int run() throws IOException {
        RecordAggregator fold = new RecordAggregator();
        RecordReader reader = new RecordReader();
        List<Path> paths = places.stream().map(Path::of).toList();
        for (Path path : paths) {
            if (!Files.exists(path)) {
                return unusable(path + ": there is no such file or directory");
            }
        }
        for (File file : new File[] {out, json}) {
            String unwritable = file == null ? null : unwritable(file);
            if (unwritable != null) {
                return unusable(unwritable);
            }
        }
        reader.read(paths, fold::add);
        reader.troubles().forEach(t -> System.err.println("petrelplank: " + t));
        if (fold.entries() == 0) {
            return unusable("no records in " + String.join(", ", places)
                    + "; a front writes them where its operator's file turns them on, and emulate with --records DIR");
        }
        IncidentTimeline course = new IncidentTimeline(fold);
        List<Finding> findings = Diagnosis.of(course);
        if (json != null) {
            Map<String, Object> tree = course.tree();
            tree.put("findings", findings.stream().map(Finding::tree).toList());
            tree.put("troubles", reader.troubles());
            long worst = FleetSnapshot.worstUs(course);
            tree.put("worstUs", worst);
            Map<String, Object> fleet = new LinkedHashMap<>();
            FleetSnapshot.at(course, findings, worst).forEach((id, s) -> fleet.put(id, s.tree()));
            tree.put("fleet", fleet);
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValue(json, tree);
        }
        if (out != null) {
            Files.writeString(out.toPath(), HtmlReport.of(course, findings, reader.troubles()));
        }
        System.out.print(TextSummary.of(course, findings));
        return reader.troubles().isEmpty() ? 0 : IN_PART;
    }
}
