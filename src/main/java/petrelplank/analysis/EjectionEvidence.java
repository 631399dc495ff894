package petrelplank.analysis;

import java.util.Set;
import java.util.TreeSet;

/** Says which proxies ejected an endpoint. */
final class EjectionEvidence {
    /** Proxies may notice so late. */
    private static final long NOTICED_WITHIN_US = 2 * UnixTime.SECOND_US;

    private EjectionEvidence() {}

    /** A line that names the proxies that ejected an endpoint during a fault. */
    static String during(IncidentTimeline timeline, String endpoint, long fromUs, long toUs) {
        Set<String> proxies = new TreeSet<>();
        for (Incarnation incarnation : timeline.incarnations()) {
            if (incarnation.health(endpoint).ejectedBetween(fromUs, toUs + NOTICED_WITHIN_US)) {
                proxies.add(incarnation.proxy());
            }
        }
        return proxies.isEmpty() ? "no front left it out" : "left out by " + String.join(", ", proxies);
    }
}
