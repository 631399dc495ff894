package petrelplank.cli;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import petrelplank.emulator.GroundTruth;
import petrelplank.emulator.Scenario;
import petrelplank.emulator.Simulation;
import petrelplank.record.DirectSink;
import petrelplank.record.EventSink;
import petrelplank.record.RecordSettings;
import petrelplank.yaml.YamlException;

/** {@code emulate}: simulates a scenario and writes the records of its proxies and the ground truth. */
public final class EmulateCommand extends BaseCommand {
    private static final Logger PROXY_LOGGER = Logger.getLogger("petrelplank.proxy");
    private static final String RECORD_FILE_SUFFIX = ".records.avro";
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    @Argument(metaVar = "SCENARIO", usage = "name of a bundled scenario, or a YAML file (default: silent-parent)")
    private String scenarioName = Scenario.FIRST;

    @Option(
            name = "--seed",
            metaVar = "N",
            usage = "seed of all random numbers; the same seed gives identical files (default: 1)")
    private long seed = 1;

    @Option(
            name = "--records",
            metaVar = "DIR",
            usage = "directory for the records of the proxies; without it, none are written")
    private File recordDirectory;

    @Option(
            name = "--truth",
            metaVar = "FILE",
            usage = "file for the ground truth (what the emulator saw happen), as JSON")
    private File truthFile;

    /** Called by args4j through reflection. */
    public EmulateCommand() {}

    @Override
    public int run() throws IOException {
        Scenario scenario;
        try {
            scenario = Scenario.of(scenarioName);
        } catch (YamlException | IOException e) {
            return reportUnusableInput(e.getMessage());
        }
        String problem = prepareOutput();
        if (problem != null) {
            return reportUnusableInput(problem);
        }
        // Log lines of emulated proxies would show the real time and not the simulated time; the records hold more
        // detail.
        PROXY_LOGGER.setLevel(Level.OFF);
        long startNs = System.nanoTime();
        Simulation simulation = new Simulation(scenario, seed, this::createSink);
        GroundTruth truth;
        try {
            truth = simulation.run();
        } catch (UncheckedIOException e) {
            return reportUnusableInput(
                    "failed to write records: " + e.getCause().getMessage());
        }
        double seconds = (System.nanoTime() - startNs) / 1e9;
        if (truthFile != null) {
            JSON.writeValue(truthFile, truth);
        }
        printSummary(scenario, simulation.requests(), seconds, truth);
        return ExitStatus.SUCCESS;
    }

    /** Creates the record directory; returns why the records or the truth cannot be written, or null if they can. */
    private String prepareOutput() {
        String[] earlierRecords = recordDirectory == null
                ? null
                : recordDirectory.list((parent, name) -> name.endsWith(RECORD_FILE_SUFFIX));
        if (earlierRecords != null && earlierRecords.length > 0) {
            return recordDirectory + ": already contains record files; choose another directory or remove them";
        }
        String truthProblem = truthFile == null ? null : findWriteProblem(truthFile);
        if (truthProblem != null) {
            return truthProblem;
        }
        boolean directoryExists = recordDirectory == null || recordDirectory.isDirectory() || recordDirectory.mkdirs();
        return directoryExists ? null : recordDirectory + ": failed to create the directory";
    }

    private static void printSummary(Scenario scenario, long requests, double seconds, GroundTruth truth) {
        System.out.printf(
                "%s: %s%n%,d requests in %.1f s of simulated time, run time %.1f s%n%s%n",
                scenario.name(),
                scenario.title(),
                requests,
                scenario.lengthUs() / 1e6,
                seconds,
                JSON.convertValue(truth.total(), new TypeReference<LinkedHashMap<String, Object>>() {}));
    }

    private EventSink createSink(String proxy, long incarnation) {
        return recordDirectory == null
                ? EventSink.NONE
                : new DirectSink(RecordSettings.in(recordDirectory.toPath()), proxy, incarnation);
    }
}
