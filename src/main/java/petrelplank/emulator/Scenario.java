package petrelplank.emulator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import petrelplank.yaml.Section;
import petrelplank.yaml.Yaml;

/**
 * Describes an emulation: a fleet, its load and the faults that are injected.
 *
 * @param name a short name
 * @param title a one-line description for users
 * @param lengthUs how long clients send requests, in simulated time
 * @param topology the size of the fleet
 * @param workload client requests and background purges
 * @param capacity the capacity of servers and links
 * @param clockSpreadUs the maximum difference between the clocks of two proxies
 * @param faults the faults to inject
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
    /** The name of the scenario that runs if the user names none. */
    public static final String FIRST = "silent-parent";

    /** Returns the Unix time at which clients stop sending requests. */
    long endUnixUs() {
        return EventScheduler.START_US + lengthUs;
    }

    /**
     * Returns a copy with another number of proxies. Faults, caches and total load stay the same, so each proxy
     * handles a larger or smaller part of the load.
     *
     * @param proxies the number of proxies in each edge zone, at least 1
     * @return the modified scenario
     */
    public Scenario withProxiesPerZone(int proxies) {
        return new Scenario(
                name, title, lengthUs, topology.withProxiesPerZone(proxies), workload, capacity, clockSpreadUs, faults);
    }

    /**
     * Loads a bundled scenario or reads one from a file.
     *
     * @param nameOrFile the name of a bundled scenario, or the path of a YAML file
     * @return the scenario
     * @throws IOException if the file doesn't exist or can't be read
     * @throws petrelplank.yaml.YamlException if the file is not a valid scenario
     */
    public static Scenario of(String nameOrFile) throws IOException {
        if (BundledScenarios.contains(nameOrFile)) {
            return of(BundledScenarios.read(nameOrFile));
        }
        Path file = Path.of(nameOrFile);
        if (!Files.isRegularFile(file)) {
            throw new IOException(nameOrFile + ": neither a bundled scenario nor an existing file (bundled scenarios: "
                    + String.join(", ", BundledScenarios.all()) + ")");
        }
        return of(Yaml.read(file));
    }

    /**
     * Reads a scenario from a YAML mapping.
     *
     * @param mapping the top-level mapping of the file
     * @return the scenario
     * @throws petrelplank.yaml.YamlException if the mapping is not a valid scenario
     */
    public static Scenario of(Section mapping) {
        return new ScenarioParser(mapping).parse();
    }
}
