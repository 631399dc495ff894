package petrelplank.analysis;

import java.util.ArrayList;
import java.util.List;

/** Finds proxies that were started anew. */
final class RestartDetector implements FindingDetector {
    @Override
    public List<Finding> detect(IncidentTimeline timeline) {
        List<Finding> findings = new ArrayList<>();
        Incarnation previous = null;
        for (Incarnation incarnation : timeline.incarnations()) {
            if (previous != null && previous.proxy().equals(incarnation.proxy()) && incarnation.started() != null) {
                findings.add(restart(previous, incarnation));
            }
            previous = incarnation;
        }
        return findings;
    }

    private static Finding restart(Incarnation previous, Incarnation next) {
        String ended = previous.stopped() ? "as planned" : "no last record: killed or cut off";
        return Finding.exact(
                Finding.Kind.RESTART,
                List.of(next.proxy()),
                previous.lastUs(),
                next.startedUs(),
                "the life before ended at " + UnixTime.timeOfDay(previous.lastUs()) + " (" + ended + ")",
                "a new life began at " + UnixTime.timeOfDay(next.startedUs()));
    }
}
