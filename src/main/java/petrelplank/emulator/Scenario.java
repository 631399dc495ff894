package petrelplank.emulator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import petrelplank.yaml.Section;
import petrelplank.yaml.Yaml;

/**
 * What is emulated: a fleet, its load and the faults that are injected.
 *
 * @param name a short name
 * @param title what happens, for people
 * @param lengthUs how long clients send requests, in simulated time
 * @param topology the size of the fleet
 * @param workload requests and ordinary purges
 * @param capacity what servers and links can do
 * @param clockSpreadUs the proxies' clocks are apart by up to this
 * @param faults what goes wrong
 */
public record Scenario(
        String name,
        String title,
        long lengthUs,
        Topology topology,
        Workload workload,
        Capacity capacity,
        long clockSpreadUs,
        List<Fault> faults) {
    /** The scenario played where none is named. */
    public static final String FIRST = "silent-parent";

    /** When the last request is sent, in Unix time. */
    long endUnixUs() {
        return EventScheduler.START_US + lengthUs;
    }

    /**
     * The same faults, caches and load with another number of proxies: each sees more or less of them.
     *
     * @param proxies in each edge zone, from 1
     * @return the scenario
     */
    public Scenario withProxiesPerZone(int proxies) {
        return new Scenario(
                name, title, lengthUs, topology.withProxiesPerZone(proxies), workload, capacity, clockSpreadUs, faults);
    }

    /**
     * A bundled scenario or one from a file.
     *
     * @param nameOrFile its name, or a YAML file
     * @return the scenario; YamlException says what is wrong
     * @throws IOException where the file can't be read
     */
    public static Scenario of(String nameOrFile) throws IOException {
        if (BundledScenarios.contains(nameOrFile)) {
            return of(BundledScenarios.read(nameOrFile));
        }
        Path file = Path.of(nameOrFile);
        if (!Files.isRegularFile(file)) {
            throw new IOException(nameOrFile + ": no such file, and no bundled scenario (there are "
                    + String.join(", ", BundledScenarios.all()) + ")");
        }
        return of(Yaml.read(file));
    }

    /**
     * A scenario from a YAML mapping.
     *
     * @param mapping the file's mapping
     * @return the scenario; YamlException says what is wrong
     */
    public static Scenario of(Section mapping) {
        return new ScenarioParser(mapping).parse();
    }
}
