package petrelplank.emulator;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Copies that a cache holds, the least recently used first to go, within a bound on bytes. */
final class CacheStorage {
    /**
     * A copy.
     *
     * @param bytes its size
     * @param bornUs when the central stock gave it out
     * @param group its group
     */
    record Copy(long bytes, long bornUs, int group) {}

    private final long most;
    private final LinkedHashMap<Long, Copy> copies = new LinkedHashMap<>(16, 0.75f, true);
    private long held;

    CacheStorage(long most) {
        this.most = most;
    }

    Copy get(long object) {
        return copies.get(object);
    }

    void put(long object, Copy copy) {
        Copy old = copies.put(object, copy);
        held += copy.bytes() - (old == null ? 0 : old.bytes());
        Iterator<Map.Entry<Long, Copy>> eldest = copies.entrySet().iterator();
        while (held > most && copies.size() > 1) {
            held -= eldest.next().getValue().bytes();
            eldest.remove();
        }
    }

    void drop(Long object, int group, long beforeUs) {
        copies.entrySet().removeIf(e -> {
            boolean old =
                    (object != null ? e.getKey().equals(object) : e.getValue().group() == group)
                            && e.getValue().bornUs() < beforeUs;
            held -= old ? e.getValue().bytes() : 0;
            return old;
        });
    }

    void clear() {
        copies.clear();
        held = 0;
    }
}
