package petrelplank.emulator;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The copies that a cache holds within a bound on bytes; the least recently used is evicted first. */
final class CacheStorage {
    /**
     * A copy of an object.
     *
     * @param bytes its size
     * @param createdUs when the origin sent it
     * @param group the object's group
     */
    record Copy(long bytes, long createdUs, int group) {}

    private final long maximumBytes;
    private final LinkedHashMap<Long, Copy> copies = new LinkedHashMap<>(16, 0.75f, true);
    private long heldBytes;

    CacheStorage(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /** The copy of an object, which counts as used now; null where there is none. */
    Copy get(long object) {
        return copies.get(object);
    }

    void put(long object, Copy copy) {
        Copy replaced = copies.put(object, copy);
        heldBytes += copy.bytes() - (replaced == null ? 0 : replaced.bytes());
        Iterator<Map.Entry<Long, Copy>> eldest = copies.entrySet().iterator();
        while (heldBytes > maximumBytes && copies.size() > 1) {
            heldBytes -= eldest.next().getValue().bytes();
            eldest.remove();
        }
    }

    /** Drops the copies that a purge means. */
    void purge(PurgeTarget target, long beforeUs) {
        copies.entrySet().removeIf(entry -> {
            Copy copy = entry.getValue();
            boolean purged = target.matches(entry.getKey(), copy.group()) && copy.createdUs() < beforeUs;
            heldBytes -= purged ? copy.bytes() : 0;
            return purged;
        });
    }

    void clear() {
        copies.clear();
        heldBytes = 0;
    }
}
