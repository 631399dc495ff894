package petrelplank.fastcgi;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;

/** The requests of one connection that are not answered yet, by their ids. Any thread. */
final class OpenRequests {
    private final Map<Integer, FastCgiResponseChannel> channels = new ConcurrentHashMap<>();
    /** Responses between the removal of their request and standing among the bytes to write. */
    private final AtomicInteger responding = new AtomicInteger();

    void add(int id, FastCgiResponseChannel channel) {
        channels.put(id, channel);
    }

    /** Removes what is open under an id; null where nothing is. */
    FastCgiResponseChannel remove(int id) {
        return channels.remove(id);
    }

    /** Removes this request; false where it was answered or aborted before. */
    boolean remove(int id, FastCgiResponseChannel channel) {
        return channels.remove(id, channel);
    }

    boolean contains(int id) {
        return channels.containsKey(id);
    }

    boolean contains(int id, FastCgiResponseChannel channel) {
        return channels.get(id) == channel;
    }

    int size() {
        return channels.size();
    }

    /** Whether nothing is open and no response is being written. */
    boolean isEmpty() {
        // In this order: a response is counted before its request is removed.
        return channels.isEmpty() && responding.get() == 0;
    }

    void forEachId(IntConsumer action) {
        channels.keySet().forEach(action::accept);
    }

    void beginResponse() {
        responding.incrementAndGet();
    }

    void endResponse() {
        responding.decrementAndGet();
    }
}
