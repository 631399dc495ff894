package petrelplank.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The last purge of each object and of each surrogate key (a group of objects), for a bounded number of both, and the
 * freshness bound that follows for a request.
 *
 * <p>A purge is kept past the stated time: a cache may have filled an old copy after it had dropped its own.
 */
final class PurgeLog {
    private static final int MAX_ENTRIES = 1 << 13;
    private static final long NEVER = Long.MIN_VALUE;

    private final Map<Long, Long> objects = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<Long, Long> groups = new LinkedHashMap<>(16, 0.75f, true);
    private final long completionUs;

    /** A log where no older copy is left anywhere {@code completionUs} after a purge. */
    PurgeLog(long completionUs) {
        this.completionUs = completionUs;
    }

    /** Notes a purge of one object. */
    void recordObject(long object, long purgedUs) {
        record(objects, object, purgedUs);
    }

    /** Notes a purge of all objects of a group. */
    void recordGroup(int group, long purgedUs) {
        record(groups, (long) group, purgedUs);
    }

    private static void record(Map<Long, Long> table, long name, long purgedUs) {
        table.merge(name, purgedUs, Math::max);
        if (table.size() > MAX_ENTRIES) {
            table.remove(table.keySet().iterator().next());
        }
    }

    /** Whether fills of older copies may be under way: twice the stated time, for clocks and late messages. */
    boolean isRecentlyPurged(RoutingRequest request, long now) {
        return now - 2 * completionUs <= lastPurgedUs(request);
    }

    /**
     * Age of the oldest acceptable copy: the class's limit, less what a purge forbids; never 0 (no limit) by a purge.
     */
    long maxAgeUs(RequestState request, long now) {
        ServiceClass serviceClass = request.serviceClass;
        long limitUs = serviceClass.freshnessUs() + (request.staleAllowed ? serviceClass.staleIfErrorUs() : 0);
        long purgedUs = lastPurgedUs(request.request);
        if (purgedUs == NEVER) {
            return serviceClass.freshnessUs() == 0 ? 0 : limitUs;
        }
        long sincePurgeUs = Math.max(1, now - purgedUs - 1);
        return serviceClass.freshnessUs() == 0 ? sincePurgeUs : Math.min(limitUs, sincePurgeUs);
    }

    private long lastPurgedUs(RoutingRequest request) {
        return Math.max(
                objects.getOrDefault(request.object(), NEVER), groups.getOrDefault((long) request.group(), NEVER));
    }
}
