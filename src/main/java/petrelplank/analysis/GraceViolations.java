package petrelplank.analysis;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import petrelplank.analysis.EndpointNotifications.StateChange;
import petrelplank.record.Event;
import petrelplank.routing.EndpointState;

/**
 * Counts what came after its grace period: attempts at an endpoint that was notified to be draining, and responses
 * from a copy older than a purge that was notified in time.
 */
final class GraceViolations {
    private static final long NOT_DRAINING = Long.MAX_VALUE;

    private long lateSends;
    private long staleResponses;

    GraceViolations(List<Incarnation> incarnations) {
        for (Incarnation incarnation : incarnations) {
            // The grace periods stand in the event of the start.
            if (incarnation.started() != null) {
                for (String endpoint : incarnation.endpointNotifications().ids()) {
                    countLateSends(incarnation, endpoint);
                }
                countStaleResponses(incarnation);
            }
        }
    }

    private void countLateSends(Incarnation incarnation, String endpoint) {
        long graceUs = incarnation.started().drainGraceUs();
        List<StateChange> changes = incarnation.endpointNotifications().of(endpoint);
        LongTable sends = incarnation.attempts().sends(endpoint);
        for (int row = 0; row < sends.size(); row++) {
            long sentUs = sends.get(row, 0);
            long drainingSinceUs = drainingSinceUs(changes, sentUs);
            if (drainingSinceUs != NOT_DRAINING && sentUs - drainingSinceUs > graceUs) {
                lateSends++;
            }
        }
    }

    private static long drainingSinceUs(List<StateChange> changes, long unixUs) {
        long sinceUs = NOT_DRAINING;
        for (StateChange change : changes) {
            if (change.atUs() <= unixUs) {
                sinceUs = change.state() == EndpointState.UP ? NOT_DRAINING : Math.min(sinceUs, change.atUs());
            }
        }
        return sinceUs;
    }

    private void countStaleResponses(Incarnation incarnation) {
        Map<Long, List<Event.Purged>> byObject = new HashMap<>();
        Map<Integer, List<Event.Purged>> byGroup = new HashMap<>();
        for (Event.Purged purge : incarnation.purgeNotifications().purges().values()) {
            if (purge.object() != null) {
                byObject.computeIfAbsent(purge.object(), object -> new ArrayList<>())
                        .add(purge);
            } else {
                byGroup.computeIfAbsent(purge.group(), group -> new ArrayList<>())
                        .add(purge);
            }
        }
        incarnation.attempts().forEachCopy(copy -> {
            if (isStale(incarnation, byObject.getOrDefault(copy.object(), List.of()), copy)
                    || isStale(incarnation, byGroup.getOrDefault(copy.group(), List.of()), copy)) {
                staleResponses++;
            }
        });
    }

    private static boolean isStale(Incarnation incarnation, List<Event.Purged> purges, ServedCopy copy) {
        long graceUs = incarnation.started().purgeGraceUs();
        return purges.stream()
                .anyMatch(purge -> copy.bornMs() < purge.unixMs()
                        && copy.sentUs()
                                > incarnation.purgeNotifications().notifiedUs().get(purge.index()) + graceUs);
    }

    long lateSends() {
        return lateSends;
    }

    long staleResponses() {
        return staleResponses;
    }
}
