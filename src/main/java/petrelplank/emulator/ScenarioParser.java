package petrelplank.emulator;

import java.util.ArrayList;
import java.util.List;
import petrelplank.yaml.Section;
import petrelplank.yaml.YamlException;

/**
 * Reads a scenario from YAML. Every key except the name has a default. Keys are read in a fixed order, so that a file
 * with several errors always reports the same one.
 */
final class ScenarioParser {
    private static final long SECOND_US = 1_000_000;
    private static final long HOUR_US = 3_600 * SECOND_US;
    private static final long MIB = 1L << 20;
    private static final long TIB = 1L << 40;
    private static final double MAX_WEIGHT = 1e6;

    private final Section mapping;

    ScenarioParser(Section mapping) {
        this.mapping = mapping;
    }

    /**
     * Reads the scenario.
     *
     * @throws YamlException with the position and the reason if the mapping is not a valid scenario
     */
    Scenario parse() {
        String name = mapping.text("name");
        String title = mapping.text("title", name);
        long lengthUs = mapping.durationUs("length", 40 * SECOND_US, SECOND_US, HOUR_US);
        Topology topology = topology();
        List<Fault> faults = faults(lengthUs, topology);
        double requestsPerSecond = mapping.number("requests-per-second", 300, 1, 100_000);
        int objects = integer("objects", 4_000, 10, 10_000_000);
        int groups = integer("groups", 32, 1, 256);
        double skew = mapping.number("skew", 1.0, 0.1, 3);
        Capacity capacity = capacity();
        double purgesPerSecond = mapping.number("purges-per-second", 0.5, 0, 1000);
        long clockSpreadUs = mapping.durationUs("clocks-apart", 0, 0, 10 * SECOND_US);
        mapping.done();
        Workload workload = new Workload(requestsPerSecond, objects, groups, skew, purgesPerSecond);
        return new Scenario(name, title, lengthUs, topology, workload, capacity, clockSpreadUs, faults);
    }

    private Topology topology() {
        return new Topology(
                integer("branches", 3, 1, 200),
                integer("fronts-per-branch", 2, 1, 100),
                integer("caches-per-branch", 4, 1, 64),
                integer("hubs", 3, 1, 60),
                integer("caches-per-hub", 1, 1, 16));
    }

    private Capacity capacity() {
        return new Capacity(
                mapping.bytes("cache-holds", 24 * MIB, MIB, TIB),
                mapping.bytes("hub-cache-holds", 96 * MIB, MIB, TIB),
                mapping.number("cache-weight", 6, 0.1, MAX_WEIGHT),
                mapping.number("hub-cache-weight", 16, 0.1, MAX_WEIGHT),
                mapping.number("link-weight", 12, 0.01, MAX_WEIGHT),
                mapping.number("central-per-second", 200, 0.1, 1e6),
                mapping.durationUs("central-time", 40_000, 100, 60 * SECOND_US));
    }

    private int integer(String key, long defaultValue, long minimum, long maximum) {
        return (int) mapping.whole(key, defaultValue, minimum, maximum);
    }

    private List<Fault> faults(long lengthUs, Topology topology) {
        List<Fault> faults = new ArrayList<>();
        for (Section section : mapping.sections("troubles")) {
            faults.add(fault(section, lengthUs, topology));
        }
        return List.copyOf(faults);
    }

    private static Fault fault(Section section, long lengthUs, Topology topology) {
        FaultKind kind = FaultKind.ofLabel(section.word("kind", FaultKind.SILENT.label(), FaultKind.labels()));
        long startUs = section.durationUs("at", lengthUs / 4, 0, lengthUs);
        long durationUs = section.durationUs("for", lengthUs / 4, 0, HOUR_US);
        List<String> servers = section.texts("servers");
        for (String server : servers) {
            if (!topology.contains(server)) {
                throw section.wrong(
                        "servers", "expected a server, proxy or edge zone of this topology, found " + server);
            }
        }
        if (kind.namesServers() == servers.isEmpty()) {
            throw wrongNumberOfServers(section, kind);
        }
        double share = section.number("share", kind.defaultMagnitude(), 0, kind.maximumMagnitude());
        section.done();
        return new Fault(kind, startUs, durationUs, servers, share);
    }

    private static YamlException wrongNumberOfServers(Section section, FaultKind kind) {
        return section.wrong(
                "servers",
                kind.namesServers()
                        ? "expected at least one name for this kind of fault, found none"
                        : "expected no names for this kind of fault, found at least one");
    }
}
