package petrelplank.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import petrelplank.emulator.Scenario;
import petrelplank.emulator.Simulation;
import petrelplank.record.DirectSink;
import petrelplank.record.EventSink;
import petrelplank.record.RecordSettings;
import petrelplank.yaml.YamlException;

/** {@code emulate}: plays a scenario and leaves the records of its fronts. */
public final class EmulateCommand extends BaseCommand {
    private static final Logger FRONTS = Logger.getLogger("petrelplank.proxy");

    @Argument(metaVar = "SCENARIO", usage = "a bundled scenario's name or a YAML file; silent-hub where none is named")
    private String scenario = Scenario.FIRST;

    @Option(name = "--seed", metaVar = "N", usage = "for all random numbers; the same seed gives the same bytes")
    private long seed = 1;

    @Option(name = "--records", metaVar = "DIR", usage = "where the fronts' records go; none are written without it")
    private File records;

    @Option(name = "--truth", metaVar = "FILE", usage = "what happened, as the emulator saw it, as JSON")
    private File truth;

    /** For args4j, which makes it by reflection. */
    public EmulateCommand() {}

    @Override
    public int run() throws IOException {
        Scenario played;
        try {
            played = Scenario.of(scenario);
        } catch (YamlException | IOException e) {
            return unusable(e.getMessage());
        }
        String[] own = records == null ? null : records.list((d, n) -> n.endsWith(".records.avro"));
        if (own != null && own.length > 0) {
            return unusable(records + ": holds records already; name another directory, or remove them");
        }
        String unwritable = truth == null ? null : unwritable(truth);
        if (unwritable != null) {
            return unusable(unwritable);
        }
        // Lines of emulated fronts would carry the wrong time; their records tell more.
        FRONTS.setLevel(Level.OFF);
        long from = System.nanoTime();
        if (records != null && !records.isDirectory() && !records.mkdirs()) {
            return unusable(records + ": no such directory can be made");
        }
        Simulation world =
                new Simulation(played, seed, (name, life) -> records == null ? EventSink.NONE : sink(name, life));
        Map<String, Object> happened;
        try {
            happened = world.run();
        } catch (UncheckedIOException e) {
            return unusable("records can't be written: " + e.getCause().getMessage());
        }
        double seconds = (System.nanoTime() - from) / 1e9;
        if (truth != null) {
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValue(truth, happened);
        }
        System.out.printf(
                "%s: %s%n%,d requests in %.1f s simulated, %.1f s taken%n%s%n",
                played.name(),
                played.title(),
                world.requests(),
                played.lengthUs() / 1e6,
                seconds,
                happened.get("total"));
        return ExitStatus.SUCCESS;
    }

    private EventSink sink(String name, long life) {
        Path directory = records.toPath();
        return new DirectSink(RecordSettings.in(directory), name, life);
    }
}
