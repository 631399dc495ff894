package petrelplank.emulator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import petrelplank.yaml.Section;
import petrelplank.yaml.Yaml;

/**
 * What is emulated: a fleet, its load and what goes wrong. Times are simulated microseconds from the start.
 *
 * @param name a short name
 * @param title what happens, for people
 * @param lengthUs requests come for so long
 * @param branches branches, each with caches and fronts
 * @param frontsPerBranch fronts of a branch
 * @param cachesPerBranch caches of a branch
 * @param hubs hubs in a ring, the central stock at the first
 * @param cachesPerHub hub caches of a hub
 * @param requestsPerSecond of all branches together
 * @param objects how many there are
 * @param groups groups that objects fall into
 * @param skew exponent of the Zipf law of popularity
 * @param cacheBytes what a cache holds
 * @param hubBytes what a hub cache holds
 * @param cacheWeight a cache's link out, in transfers at full pace
 * @param hubWeight a hub cache's link out, in transfers at full pace
 * @param linkWeight a branch's link in, in transfers at a client's pace
 * @param centralPerSecond calls that the central stock can do in a second
 * @param centralUs its usual time for a call
 * @param purgesPerSecond single objects purged in the ordinary course
 * @param clockSpreadUs clocks of fronts are apart by up to this
 * @param troubles what goes wrong
 */
public record Scenario(
        String name,
        String title,
        long lengthUs,
        int branches,
        int frontsPerBranch,
        int cachesPerBranch,
        int hubs,
        int cachesPerHub,
        double requestsPerSecond,
        int objects,
        int groups,
        double skew,
        long cacheBytes,
        long hubBytes,
        double cacheWeight,
        double hubWeight,
        double linkWeight,
        double centralPerSecond,
        long centralUs,
        double purgesPerSecond,
        long clockSpreadUs,
        List<Trouble> troubles) {
    /** The scenario played where none is named. */
    public static final String FIRST = "silent-hub";

    private static final long HOUR_US = 3_600_000_000L;

    /** What can go wrong. */
    public enum Kind {
        /** A server takes work and answers nothing. */
        SILENT("silent"),
        /** A server fails a share of its requests at once. */
        FAST_FAILURES("fast-failures"),
        /** A share of the groups is purged at once. */
        PURGE("purge"),
        /** A new object draws a share of the bytes. */
        HOT_OBJECT("hot-object"),
        /** The central stock takes a multiple of its time. */
        SLOW_STOCK("slow-stock"),
        /** Fronts are killed, and start again after the trouble's length. */
        RESTART("restart"),
        /** A cache drains, and is gone at the end. */
        DRAIN("drain"),
        /** Servers vanish without a word, and return cold at the end, told a while later. */
        LOST("lost"),
        /** Servers are replaced one by one over the trouble's length: a new one starts cold, the old one drains. */
        REPLACE("replace"),
        /** The coordinator tells nothing, and all at once at the end. */
        LATE_LIST("late-list"),
        /** Others call the central stock, at a multiple of what it can do. */
        OUTSIDE_LOAD("outside-load"),
        /** The link into a branch has a share of its width. */
        CROWDED_LINK("crowded-link");

        private final String label;

        Kind(String label) {
            this.label = label;
        }

        /** The name in scenario files. */
        String label() {
            return label;
        }

        private static Set<String> labels() {
            return Stream.of(values()).map(Kind::label).collect(Collectors.toSet());
        }

        private static Kind of(String label) {
            return Stream.of(values())
                    .filter(kind -> kind.label.equals(label))
                    .findFirst()
                    .orElseThrow();
        }
    }

    /**
     * Something that goes wrong.
     *
     * @param kind what
     * @param atUs when
     * @param forUs for how long
     * @param servers which; a front's name for restarts
     * @param share the share of requests, groups or bytes, or the multiple of the time
     */
    public record Trouble(Kind kind, long atUs, long forUs, List<String> servers, double share) {}

    /**
     * The same incident, caches and load with another number of fronts: each sees more or less of it.
     *
     * @param fronts of each branch, from 1
     * @return the scenario
     */
    public Scenario withFrontsPerBranch(int fronts) {
        return new Scenario(
                name,
                title,
                lengthUs,
                branches,
                fronts,
                cachesPerBranch,
                hubs,
                cachesPerHub,
                requestsPerSecond,
                objects,
                groups,
                skew,
                cacheBytes,
                hubBytes,
                cacheWeight,
                hubWeight,
                linkWeight,
                centralPerSecond,
                centralUs,
                purgesPerSecond,
                clockSpreadUs,
                troubles);
    }

    /**
     * A bundled scenario or one from a file.
     *
     * @param nameOrFile its name, or a YAML file
     * @return the scenario; YamlException tells what is wrong
     * @throws IOException where the file can't be read
     */
    public static Scenario of(String nameOrFile) throws IOException {
        if (BundledScenarios.contains(nameOrFile)) {
            return of(Yaml.resource("/petrelplank/emulator/" + nameOrFile + ".yaml"));
        }
        if (!Files.isRegularFile(Path.of(nameOrFile))) {
            throw new IOException(nameOrFile + ": no such file, and no bundled scenario (there are "
                    + String.join(", ", BundledScenarios.incidents()) + ", "
                    + String.join(", ", BundledScenarios.fleet()) + ")");
        }
        return of(Yaml.read(Path.of(nameOrFile)));
    }

    /**
     * Reads a scenario; what is not set has the value of the bundled ones.
     *
     * @param s the file's mapping
     * @return the scenario; YamlException tells what is wrong
     */
    public static Scenario of(Section s) {
        String name = s.text("name");
        String title = s.text("title", name);
        long length = s.durationUs("length", 40_000_000, 1_000_000, HOUR_US);
        int branches = (int) s.whole("branches", 3, 1, 200);
        int fronts = (int) s.whole("fronts-per-branch", 2, 1, 100);
        int caches = (int) s.whole("caches-per-branch", 4, 1, 64);
        int hubs = (int) s.whole("hubs", 3, 1, 60);
        int hubCaches = (int) s.whole("caches-per-hub", 1, 1, 16);
        List<Trouble> troubles = new ArrayList<>();
        for (Section t : s.sections("troubles")) {
            Kind kind = Kind.of(t.word("kind", "silent", Kind.labels()));
            long at = t.durationUs("at", length / 4, 0, length);
            long lasts = t.durationUs("for", length / 4, 0, HOUR_US);
            List<String> servers = t.texts("servers");
            for (String server : servers) {
                if (!ServerNames.known(server, branches, fronts, caches, hubs, hubCaches)) {
                    throw t.wrong("servers", "no server is called " + server);
                }
            }
            boolean central = kind == Kind.PURGE
                    || kind == Kind.HOT_OBJECT
                    || kind == Kind.SLOW_STOCK
                    || kind == Kind.OUTSIDE_LOAD
                    || kind == Kind.LATE_LIST;
            if (central != servers.isEmpty()) {
                throw t.wrong(
                        "servers",
                        central
                                ? "a trouble of this kind names none"
                                : "a trouble of this kind " + "names at least one");
            }
            double most = kind == Kind.SLOW_STOCK || kind == Kind.OUTSIDE_LOAD ? 100 : 1;
            troubles.add(new Trouble(kind, at, lasts, servers, t.number("share", most == 1 ? 1 : 5, 0, most)));
            t.done();
        }
        Scenario scenario = new Scenario(
                name,
                title,
                length,
                branches,
                fronts,
                caches,
                hubs,
                hubCaches,
                s.number("requests-per-second", 300, 1, 100_000),
                (int) s.whole("objects", 4_000, 10, 10_000_000),
                (int) s.whole("groups", 32, 1, 256),
                s.number("skew", 1.0, 0.1, 3),
                s.bytes("cache-holds", 24L << 20, 1 << 20, 1L << 40),
                s.bytes("hub-cache-holds", 96L << 20, 1 << 20, 1L << 40),
                s.number("cache-weight", 6, 0.1, 1e6),
                s.number("hub-cache-weight", 16, 0.1, 1e6),
                s.number("link-weight", 12, 0.01, 1e6),
                s.number("central-per-second", 200, 0.1, 1e6),
                s.durationUs("central-time", 40_000, 100, 60_000_000),
                s.number("purges-per-second", 0.5, 0, 1000),
                s.durationUs("clocks-apart", 0, 0, 10_000_000),
                List.copyOf(troubles));
        s.done();
        return scenario;
    }
}
