package petrelplank.analysis;

import java.util.Map;
import java.util.TreeMap;
import petrelplank.record.Event;

/** The purges that one incarnation was notified of, by the notification's index. */
final class PurgeNotifications {
    private final Map<Long, Event.Purged> purges = new TreeMap<>();
    private final Map<Long, Long> notifiedUs = new TreeMap<>();

    void add(Event.Purged event, long atUs) {
        purges.put(event.index(), event);
        notifiedUs.merge(event.index(), atUs, Math::min);
    }

    Map<Long, Event.Purged> purges() {
        return purges;
    }

    /** When the incarnation was first notified of each. */
    Map<Long, Long> notifiedUs() {
        return notifiedUs;
    }
}
