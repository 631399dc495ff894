package petrelplank.proxy;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Stage 2: holds the open exchanges, no more than memory allows, and gives each a guard at its deadline. What is
 * turned away here has not been sent anywhere.
 */
final class AdmissionController {
    /** The guard goes off this long after the router's own time is up. */
    private static final long GUARD_US = 10_000;

    private static final long FULL_RETRY_MS = 1_000;

    private final EventLoop loop;
    private final Map<String, Exchange> open = new HashMap<>();
    private final int most;
    private final RoutingStage route;
    private final RequestCompletion book;
    private final SinkEventRecorder scribe;
    private long closeAtUs = Long.MAX_VALUE;
    /** What was taken and may not be routed yet; null where nothing has to wait. */
    private Set<Exchange> waiting;

    AdmissionController(
            EventLoop loop, int most, RoutingStage route, RequestCompletion book, SinkEventRecorder scribe) {
        this.loop = loop;
        this.most = most;
        this.route = route;
        this.book = book;
        this.scribe = scribe;
    }

    Exchange admit(Exchange exchange) {
        String id = exchange.asked.id();
        if (open.size() >= most || open.containsKey(id) || loop.now() >= closeAtUs) {
            book.turnedAway();
            scribe.turnedAway(exchange.asked, ClientResponse.Kind.REJECTED);
            exchange.channel.answer(ClientResponse.refused(FULL_RETRY_MS));
            return null;
        }
        open.put(id, exchange);
        exchange.guard = loop.at(Math.min(exchange.deadlineUs + GUARD_US, closeAtUs), () -> book.overdue(exchange));
        scribe.taken(exchange);
        if (waiting == null) {
            route.route(exchange);
        } else {
            waiting.add(exchange);
        }
        return exchange;
    }

    /** Routes nothing until {@link #resume}; what is taken waits, each no longer than its guard allows. */
    void pause() {
        waiting = new LinkedHashSet<>();
    }

    void resume() {
        Set<Exchange> all = waiting;
        waiting = null;
        if (all != null) {
            all.forEach(route::route);
        }
    }

    int size() {
        return open.size();
    }

    Exchange find(String id) {
        return open.get(id);
    }

    /** Drops an exchange once it has its answer and its last attempt has ended. */
    void release(Exchange exchange) {
        if (exchange.over && exchange.attempts.stream().allMatch(a -> a.ended)) {
            open.remove(exchange.asked.id(), exchange);
            if (waiting != null) {
                waiting.remove(exchange);
            }
        }
    }

    /** Whether any request is still owed its answer. */
    boolean hasPendingRequests() {
        return open.values().stream().anyMatch(e -> !e.over);
    }

    /** From a time on nothing is taken, and all that is still open then is answered. */
    void closeAt(long atUs) {
        closeAtUs = atUs;
        for (Exchange exchange : open.values()) {
            loop.at(atUs, () -> book.overdue(exchange));
        }
    }
}
