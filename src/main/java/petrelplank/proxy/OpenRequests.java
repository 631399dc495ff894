package petrelplank.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The table of open exchanges by request id, and those among them that still wait to be routed. An exchange stays
 * until it is completed and its last attempt has ended. Event thread only.
 */
final class OpenRequests {
    private final Map<String, Exchange> byId = new HashMap<>();
    private final Set<Exchange> unrouted = new LinkedHashSet<>();

    void add(Exchange exchange) {
        byId.put(exchange.request.id(), exchange);
    }

    /** The open exchange of a request id; null where there is none. */
    Exchange find(String id) {
        return byId.get(id);
    }

    boolean contains(String id) {
        return byId.containsKey(id);
    }

    int size() {
        return byId.size();
    }

    /** Whether any client still waits for its final response. */
    boolean hasPendingRequests() {
        return byId.values().stream().anyMatch(exchange -> !exchange.isCompleted());
    }

    void forEach(Consumer<Exchange> action) {
        byId.values().forEach(action);
    }

    /** Keeps an open exchange for {@link #takeUnrouted}, or until it is removed. */
    void deferRouting(Exchange exchange) {
        unrouted.add(exchange);
    }

    /** The exchanges whose routing was deferred, in the order of their admission; none is kept any more. */
    List<Exchange> takeUnrouted() {
        List<Exchange> deferred = new ArrayList<>(unrouted);
        unrouted.clear();
        return deferred;
    }

    /** Removes an exchange that is completed and has no attempt under way; keeps any other. */
    void removeIfFinished(Exchange exchange) {
        if (exchange.isFinished()) {
            byId.remove(exchange.request.id(), exchange);
            unrouted.remove(exchange);
        }
    }
}
