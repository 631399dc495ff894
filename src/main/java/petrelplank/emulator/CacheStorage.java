package petrelplank.emulator;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The copies that a cache holds, limited by their total size. Evicts the least recently used copy first. */
final class CacheStorage {
    /**
     * A stored copy of an object.
     *
     * @param bytes size of the copy
     * @param createdUs when the origin sent the copy
     * @param group purge group of the object
     */
    record Copy(long bytes, long createdUs, int group) {}

    private final long maximumBytes;
    private final LinkedHashMap<Long, Copy> copies = new LinkedHashMap<>(16, 0.75f, true);
    private long storedBytes;

    CacheStorage(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /** Returns the copy of an object and marks it as recently used, or returns null if there is none. */
    Copy get(long object) {
        return copies.get(object);
    }

    /** Stores a copy and evicts others to make room. The last copy stays even if it alone exceeds the limit. */
    void put(long object, Copy copy) {
        Copy replaced = copies.put(object, copy);
        storedBytes += copy.bytes() - (replaced == null ? 0 : replaced.bytes());
        Iterator<Map.Entry<Long, Copy>> leastRecentlyUsed = copies.entrySet().iterator();
        while (storedBytes > maximumBytes && copies.size() > 1) {
            storedBytes -= leastRecentlyUsed.next().getValue().bytes();
            leastRecentlyUsed.remove();
        }
    }

    /** Removes the copies that match a purge and that the origin sent before {@code beforeUs}. */
    void purge(PurgeTarget target, long beforeUs) {
        copies.entrySet().removeIf(entry -> {
            Copy copy = entry.getValue();
            boolean purged = target.matches(entry.getKey(), copy.group()) && copy.createdUs() < beforeUs;
            storedBytes -= purged ? copy.bytes() : 0;
            return purged;
        });
    }

    void clear() {
        copies.clear();
        storedBytes = 0;
    }
}
