package petrelplank.fastcgi;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;

/** The requests of one connection that are not answered yet, by their FastCGI ids. Thread-safe. */
final class OpenRequests {
    private final Map<Integer, FastCgiResponseChannel> channels = new ConcurrentHashMap<>();
    /** Responses whose request may already be removed but whose bytes are not yet queued for writing. */
    private final AtomicInteger responsesInProgress = new AtomicInteger();

    void add(int id, FastCgiResponseChannel channel) {
        channels.put(id, channel);
    }

    /** Removes the request with this id; returns null if there is none. */
    FastCgiResponseChannel remove(int id) {
        return channels.remove(id);
    }

    /** Removes this request; returns false if it was already answered or aborted. */
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

    /** Whether no request is open and no response is about to be queued for writing. */
    boolean isEmpty() {
        // The order matters: a response is counted before its request is removed, so that one of the checks sees it.
        return channels.isEmpty() && responsesInProgress.get() == 0;
    }

    void forEachId(IntConsumer action) {
        channels.keySet().forEach(action::accept);
    }

    /** Must be called before the request is removed. */
    void beginResponse() {
        responsesInProgress.incrementAndGet();
    }

    /** Must be called once the response is queued for writing, or if there is none to send. */
    void endResponse() {
        responsesInProgress.decrementAndGet();
    }
}
