package petrelplank.cli;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import petrelplank.analysis.Diagnosis;
import petrelplank.analysis.Finding;
import petrelplank.analysis.IncidentTimeline;
import petrelplank.analysis.RecordAggregator;
import petrelplank.record.ReadError;
import petrelplank.record.RecordReader;
import petrelplank.report.HtmlReport;
import petrelplank.report.JsonReport;
import petrelplank.report.TextSummary;

/** {@code report}: analyzes the records of proxies and reports the statistics and findings of an incident. */
public final class ReportCommand extends BaseCommand {
    @Argument(metaVar = "DIR", required = true, usage = "record files, or directories that contain them")
    private List<String> places = new ArrayList<>();

    @Option(name = "--out", metaVar = "FILE.html", usage = "file for the HTML report; it can be viewed offline")
    private File out;

    @Option(name = "--json", metaVar = "FILE", usage = "file for the same report as JSON")
    private File json;

    /** Called by args4j through reflection. */
    public ReportCommand() {}

    @Override
    public int run() throws IOException {
        List<Path> paths = places.stream().map(Path::of).toList();
        Optional<String> unusable = missingInput(paths).or(this::unwritableOutput);
        if (unusable.isPresent()) {
            return unusable(unusable.get());
        }
        RecordAggregator records = new RecordAggregator();
        RecordReader reader = new RecordReader();
        reader.read(paths, records::add);
        List<String> unreadable =
                reader.errors().stream().map(ReadError::message).toList();
        unreadable.forEach(line -> System.err.println("petrelplank: " + line));
        if (records.entries() == 0) {
            return unusable(
                    "no records found in " + String.join(", ", places)
                            + "; they are written by emulate --records DIR, and by serve if the operator file turns records on");
        }
        write(new IncidentTimeline(records), unreadable);
        return unreadable.isEmpty() ? ExitStatus.SUCCESS : ExitStatus.INCOMPLETE_RECORDS;
    }

    private static Optional<String> missingInput(List<Path> paths) {
        return paths.stream()
                .filter(path -> !Files.exists(path))
                .map(path -> path + ": no such file or directory")
                .findFirst();
    }

    private Optional<String> unwritableOutput() {
        return Stream.of(out, json)
                .filter(Objects::nonNull)
                .map(BaseCommand::unwritable)
                .filter(Objects::nonNull)
                .findFirst();
    }

    private void write(IncidentTimeline timeline, List<String> unreadable) throws IOException {
        List<Finding> findings = Diagnosis.of(timeline);
        if (json != null) {
            JsonReport.of(timeline, findings, unreadable).writeTo(json);
        }
        if (out != null) {
            Files.writeString(out.toPath(), HtmlReport.of(timeline, findings, unreadable));
        }
        System.out.print(TextSummary.of(timeline, findings));
    }
}
