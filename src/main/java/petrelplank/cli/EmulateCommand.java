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

/** {@code emulate}: plays a scenario, and writes the records of its proxies and the ground truth. */
public final class EmulateCommand extends BaseCommand {
    private static final Logger PROXY_LOGGER = Logger.getLogger("petrelplank.proxy");
    private static final String RECORD_FILE_SUFFIX = ".records.avro";
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    @Argument(
            metaVar = "SCENARIO",
            usage = "a bundled scenario's name or a YAML file; silent-parent where none is named")
    private String scenarioName = Scenario.FIRST;

    @Option(name = "--seed", metaVar = "N", usage = "for all random numbers; the same seed gives the same bytes")
    private long seed = 1;

    @Option(name = "--records", metaVar = "DIR", usage = "where the proxies' records go; none are written without it")
    private File recordDirectory;

    @Option(name = "--truth", metaVar = "FILE", usage = "what happened, as the emulator saw it, as JSON")
    private File truthFile;

    /** For args4j, which makes it by reflection. */
    public EmulateCommand() {}

    @Override
    public int run() throws IOException {
        Scenario scenario;
        try {
            scenario = Scenario.of(scenarioName);
        } catch (YamlException | IOException e) {
            return unusable(e.getMessage());
        }
        String problem = outputProblem();
        if (problem != null) {
            return unusable(problem);
        }
        // Log lines of emulated proxies would carry the wrong time; their records tell more.
        PROXY_LOGGER.setLevel(Level.OFF);
        long startNs = System.nanoTime();
        Simulation simulation = new Simulation(scenario, seed, this::sink);
        GroundTruth truth;
        try {
            truth = simulation.run();
        } catch (UncheckedIOException e) {
            return unusable("records can't be written: " + e.getCause().getMessage());
        }
        double seconds = (System.nanoTime() - startNs) / 1e9;
        if (truthFile != null) {
            JSON.writeValue(truthFile, truth);
        }
        printSummary(scenario, simulation.requests(), seconds, truth);
        return ExitStatus.SUCCESS;
    }

    /** Why the records or the truth can't be written; null where they can. Makes the record directory. */
    private String outputProblem() {
        String[] earlierRecords = recordDirectory == null
                ? null
                : recordDirectory.list((folder, name) -> name.endsWith(RECORD_FILE_SUFFIX));
        if (earlierRecords != null && earlierRecords.length > 0) {
            return recordDirectory + ": holds records already; name another directory, or remove them";
        }
        String truthProblem = truthFile == null ? null : unwritable(truthFile);
        if (truthProblem != null) {
            return truthProblem;
        }
        boolean directoryIsThere = recordDirectory == null || recordDirectory.isDirectory() || recordDirectory.mkdirs();
        return directoryIsThere ? null : recordDirectory + ": no such directory can be made";
    }

    private static void printSummary(Scenario scenario, long requests, double seconds, GroundTruth truth) {
        System.out.printf(
                "%s: %s%n%,d requests in %.1f s simulated, %.1f s taken%n%s%n",
                scenario.name(),
                scenario.title(),
                requests,
                scenario.lengthUs() / 1e6,
                seconds,
                JSON.convertValue(truth.total(), new TypeReference<LinkedHashMap<String, Object>>() {}));
    }

    private EventSink sink(String proxy, long incarnation) {
        return recordDirectory == null
                ? EventSink.NONE
                : new DirectSink(RecordSettings.in(recordDirectory.toPath()), proxy, incarnation);
    }
}
