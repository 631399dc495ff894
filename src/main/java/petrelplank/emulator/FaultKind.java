package petrelplank.emulator;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The kinds of faults that a scenario can inject. */
public enum FaultKind {
    /** A server accepts requests and never responds. */
    SILENT("silent", Target.SERVERS, MagnitudeUnit.FRACTION),
    /** A server fails a share of its requests immediately. */
    FAST_FAILURES("fast-failures", Target.SERVERS, MagnitudeUnit.FRACTION),
    /** A share of the object groups is purged at the same time. */
    PURGE("purge", Target.FLEET, MagnitudeUnit.FRACTION),
    /** A new object receives a share of the requests for media. */
    HOT_OBJECT("hot-object", Target.FLEET, MagnitudeUnit.FRACTION),
    /** The origin takes a multiple of its usual response time. */
    SLOW_ORIGIN("slow-stock", Target.FLEET, MagnitudeUnit.MULTIPLE),
    /** Proxies are killed, and restarted when the fault ends. */
    RESTART("restart", Target.SERVERS, MagnitudeUnit.FRACTION),
    /** A cache drains, and is removed when the fault ends. */
    DRAIN("drain", Target.SERVERS, MagnitudeUnit.FRACTION),
    /** Servers fail without notice; when the fault ends they return with cold caches, and are listed later. */
    LOST("lost", Target.SERVERS, MagnitudeUnit.FRACTION),
    /** Servers are replaced one after the other: the new one starts with a cold cache while the old one drains. */
    REPLACE("replace", Target.SERVERS, MagnitudeUnit.FRACTION),
    /** Discovery events published during the fault are held back until it ends, and then delivered in one burst. */
    LATE_DISCOVERY("late-list", Target.FLEET, MagnitudeUnit.FRACTION),
    /** Clients outside the fleet send calls to the origin at a multiple of its capacity. */
    OUTSIDE_LOAD("outside-load", Target.FLEET, MagnitudeUnit.MULTIPLE),
    /** The link into a zone is reduced to a share of its capacity. */
    CROWDED_LINK("crowded-link", Target.SERVERS, MagnitudeUnit.FRACTION);

    /** What a kind of fault affects. */
    private enum Target {
        /** Named servers, proxies or zones. */
        SERVERS,
        /** The fleet as a whole, or a component that exists once, such as the origin; no server is named. */
        FLEET
    }

    /** How the magnitude of a fault is interpreted, with its default and its upper bound. */
    private enum MagnitudeUnit {
        FRACTION(1, 1),
        MULTIPLE(5, 100);

        private final double defaultValue;
        private final double maximumValue;

        MagnitudeUnit(double defaultValue, double maximumValue) {
            this.defaultValue = defaultValue;
            this.maximumValue = maximumValue;
        }
    }

    private final String label;
    private final Target target;
    private final MagnitudeUnit magnitudeUnit;

    FaultKind(String label, Target target, MagnitudeUnit magnitudeUnit) {
        this.label = label;
        this.target = target;
        this.magnitudeUnit = magnitudeUnit;
    }

    /** Returns the name used in scenario files and in the ground truth. */
    String label() {
        return label;
    }

    /** Returns whether a fault of this kind must name the servers, proxies or zones that it affects. */
    boolean namesServers() {
        return target == Target.SERVERS;
    }

    double defaultMagnitude() {
        return magnitudeUnit.defaultValue;
    }

    double maximumMagnitude() {
        return magnitudeUnit.maximumValue;
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
