package petrelplank.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The open exchanges by request id, and those among them whose routing is deferred. An exchange is open until it is
 * completed and its last attempt has ended. Event thread only.
 */
final class OpenRequests {
    private final Map<String, Exchange> byId = new HashMap<>();
    private final Set<Exchange> deferred = new LinkedHashSet<>();

    void add(Exchange exchange) {
        byId.put(exchange.request.id(), exchange);
    }

    /** Returns the open exchange with a request id, or null if there is none. */
    Exchange find(String id) {
        return byId.get(id);
    }

    boolean contains(String id) {
        return byId.containsKey(id);
    }

    /** Whether the exchange of this channel is open; another one may have the same request id. */
    boolean contains(String id, ResponseChannel channel) {
        Exchange exchange = byId.get(id);
        return exchange != null && exchange.channel == channel;
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

    /** Defers the routing of an open exchange until {@link #takeDeferred}; dropped if the exchange finishes before. */
    void deferRouting(Exchange exchange) {
        deferred.add(exchange);
    }

    /** Returns the exchanges whose routing is deferred, in the order of admission, and clears the list. */
    List<Exchange> takeDeferred() {
        List<Exchange> exchanges = new ArrayList<>(deferred);
        deferred.clear();
        return exchanges;
    }

    /** Removes an exchange if it is completed and has no attempt in flight. */
    void removeIfFinished(Exchange exchange) {
        if (exchange.isFinished() && byId.remove(exchange.request.id(), exchange)) {
            deferred.remove(exchange);
            exchange.channel.requestReleased();
        }
    }
}
