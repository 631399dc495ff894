package petrelplank.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The latest purge of each object and of each surrogate key (a group of objects), and the maximum copy age that follows
 * for a request. Each of the two tables is bounded; the least recently used entry is dropped.
 *
 * <p>A purge stays in effect beyond the platform's purge completion time, because a cache may have filled an old copy
 * after it had dropped its own.
 */
final class PurgeLog {
    private static final int MAX_ENTRIES = 1 << 13;
    private static final long NEVER_PURGED = Long.MIN_VALUE;

    private final Map<Long, Long> purgedUsByObject = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<Long, Long> purgedUsByGroup = new LinkedHashMap<>(16, 0.75f, true);
    private final long completionUs;

    /**
     * Creates an empty log.
     *
     * @param completionUs time after a purge by which the platform promises that no older copy is left anywhere
     */
    PurgeLog(long completionUs) {
        this.completionUs = completionUs;
    }

    /** Records a purge of one object. */
    void recordObject(long object, long purgedUs) {
        record(purgedUsByObject, object, purgedUs);
    }

    /** Records a purge of all objects of a group. */
    void recordGroup(int group, long purgedUs) {
        record(purgedUsByGroup, (long) group, purgedUs);
    }

    private static void record(Map<Long, Long> purgedUsById, long id, long purgedUs) {
        purgedUsById.merge(id, purgedUs, Math::max);
        if (purgedUsById.size() > MAX_ENTRIES) {
            purgedUsById.remove(purgedUsById.keySet().iterator().next());
        }
    }

    /**
     * Whether fills of older copies may still be in progress. Twice the completion time leaves room for clock
     * differences and late messages.
     */
    boolean isRecentlyPurged(RoutingRequest request, long now) {
        return now - 2 * completionUs <= lastPurgedUs(request);
    }

    /**
     * Returns the maximum age of an acceptable copy: the limit of the service class, or the time since the last purge
     * if that is shorter. 0 means no limit; after a purge the result is at least 1.
     */
    long maxAgeUs(RequestState request, long now) {
        ServiceClass serviceClass = request.serviceClass;
        long limitUs = serviceClass.freshnessUs() + (request.staleAllowed ? serviceClass.staleIfErrorUs() : 0);
        long purgedUs = lastPurgedUs(request.clientRequest);
        if (purgedUs == NEVER_PURGED) {
            return serviceClass.freshnessUs() == 0 ? 0 : limitUs;
        }
        long sincePurgeUs = Math.max(1, now - purgedUs - 1);
        return serviceClass.freshnessUs() == 0 ? sincePurgeUs : Math.min(limitUs, sincePurgeUs);
    }

    private long lastPurgedUs(RoutingRequest request) {
        return Math.max(
                purgedUsByObject.getOrDefault(request.object(), NEVER_PURGED),
                purgedUsByGroup.getOrDefault((long) request.group(), NEVER_PURGED));
    }
}
