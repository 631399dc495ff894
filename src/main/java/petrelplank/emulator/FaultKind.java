package petrelplank.emulator;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The kinds of faults that a scenario can inject. */
public enum FaultKind {
    /** A server accepts requests and answers none. */
    SILENT("silent", Target.SERVERS, Share.FRACTION),
    /** A server fails a share of its requests at once. */
    FAST_FAILURES("fast-failures", Target.SERVERS, Share.FRACTION),
    /** A share of the groups is purged at once. */
    PURGE("purge", Target.FLEET, Share.FRACTION),
    /** A new object draws a share of the requests for media. */
    HOT_OBJECT("hot-object", Target.FLEET, Share.FRACTION),
    /** The origin takes a multiple of its usual time. */
    SLOW_ORIGIN("slow-stock", Target.FLEET, Share.MULTIPLE),
    /** Proxies are killed, and start again at the end. */
    RESTART("restart", Target.SERVERS, Share.FRACTION),
    /** A cache drains, and is removed at the end. */
    DRAIN("drain", Target.SERVERS, Share.FRACTION),
    /** Servers vanish without notice; at the end they return cold, and are listed a while later. */
    LOST("lost", Target.SERVERS, Share.FRACTION),
    /** Servers are replaced one by one: a new one starts cold, the old one drains. */
    REPLACE("replace", Target.SERVERS, Share.FRACTION),
    /** The discovery service delivers nothing, and everything at once at the end. */
    LATE_DISCOVERY("late-list", Target.FLEET, Share.FRACTION),
    /** Other clients call the origin, at a multiple of its capacity. */
    OUTSIDE_LOAD("outside-load", Target.FLEET, Share.MULTIPLE),
    /** The link into a zone has a share of its capacity. */
    CROWDED_LINK("crowded-link", Target.SERVERS, Share.FRACTION);

    /** What a fault is injected into. */
    private enum Target {
        /** Named servers, proxies or zones. */
        SERVERS,
        /** Something that there is one of; no server is named. */
        FLEET
    }

    /** What the number of a fault means, with its default and its bound. */
    private enum Share {
        FRACTION(1, 1),
        MULTIPLE(5, 100);

        private final double byDefault;
        private final double maximum;

        Share(double byDefault, double maximum) {
            this.byDefault = byDefault;
            this.maximum = maximum;
        }
    }

    private final String label;
    private final Target target;
    private final Share share;

    FaultKind(String label, Target target, Share share) {
        this.label = label;
        this.target = target;
        this.share = share;
    }

    /** The name in scenario files and in the ground truth. */
    String label() {
        return label;
    }

    /** Whether a fault of this kind names the servers that it is injected into. */
    boolean namesServers() {
        return target == Target.SERVERS;
    }

    double defaultShare() {
        return share.byDefault;
    }

    double maximumShare() {
        return share.maximum;
    }

    static Set<String> labels() {
        return Stream.of(values()).map(FaultKind::label).collect(Collectors.toSet());
    }

    static FaultKind ofLabel(String label) {
        return Stream.of(values())
                .filter(kind -> kind.label.equals(label))
                .findFirst()
                .orElseThrow();
    }
}
