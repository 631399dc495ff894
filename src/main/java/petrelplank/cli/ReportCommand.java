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
    private List<String> inputs = new ArrayList<>();

    @Option(name = "--out", metaVar = "FILE.html", usage = "file for the HTML report; it can be viewed offline")
    private File htmlFile;

    @Option(name = "--json", metaVar = "FILE", usage = "file for the same report as JSON")
    private File jsonFile;

    /** Called by args4j through reflection. */
    public ReportCommand() {}

    @Override
    public int run() throws IOException {
        List<Path> paths = inputs.stream().map(Path::of).toList();
        Optional<String> problem = findMissingInput(paths).or(this::findUnwritableOutput);
        if (problem.isPresent()) {
            return reportUnusableInput(problem.get());
        }
        RecordAggregator records = new RecordAggregator();
        RecordReader reader = new RecordReader();
        reader.read(paths, records::add);
        List<String> readErrors =
                reader.errors().stream().map(ReadError::message).toList();
        readErrors.forEach(message -> System.err.println("petrelplank: " + message));
        if (records.entries() == 0) {
            return reportUnusableInput("no records found in " + String.join(", ", inputs)
                    + "; emulate --records DIR writes them, and serve does if the operator file turns records on");
        }
        write(new IncidentTimeline(records), readErrors);
        return readErrors.isEmpty() ? ExitStatus.SUCCESS : ExitStatus.INCOMPLETE_RECORDS;
    }

    private static Optional<String> findMissingInput(List<Path> paths) {
        return paths.stream()
                .filter(path -> !Files.exists(path))
                .map(path -> path + ": no such file or directory")
                .findFirst();
    }

    private Optional<String> findUnwritableOutput() {
        return Stream.of(htmlFile, jsonFile)
                .filter(Objects::nonNull)
                .map(BaseCommand::findWriteProblem)
                .filter(Objects::nonNull)
                .findFirst();
    }

    private void write(IncidentTimeline timeline, List<String> readErrors) throws IOException {
        List<Finding> findings = Diagnosis.of(timeline);
        if (jsonFile != null) {
            JsonReport.of(timeline, findings, readErrors).writeTo(jsonFile);
        }
        if (htmlFile != null) {
            Files.writeString(htmlFile.toPath(), HtmlReport.of(timeline, findings, readErrors));
        }
        System.out.print(TextSummary.of(timeline, findings));
    }
}
