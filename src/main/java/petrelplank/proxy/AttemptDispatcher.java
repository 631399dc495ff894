package petrelplank.proxy;

import java.util.Set;
import java.util.stream.Collectors;
import petrelplank.routing.AttemptPlan;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.Idempotency;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.ServiceClass;

/** Stage 4: turns the router's orders into attempts, and watches their time. */
final class AttemptDispatcher {
    private final EventLoop loop;
    private final UpstreamClient servers;
    private final ResponseForwarder relay;
    private final SinkEventRecorder scribe;
    /** The classes that may not be sent again at will. */
    private final Set<String> guarded;

    AttemptDispatcher(
            EventLoop loop,
            RouterSettings settings,
            UpstreamClient servers,
            ResponseForwarder relay,
            SinkEventRecorder scribe) {
        this.loop = loop;
        this.servers = servers;
        this.relay = relay;
        this.scribe = scribe;
        this.guarded = settings.classes().stream()
                .filter(c -> c.idempotency() != Idempotency.IDEMPOTENT)
                .map(ServiceClass::name)
                .collect(Collectors.toSet());
    }

    void send(Exchange exchange, AttemptPlan order) {
        ClientRequest asked = exchange.asked;
        long now = loop.now();
        long untilUs = now + order.timeoutUs();
        UpstreamRequest fetch = new UpstreamRequest(
                asked.id(),
                asked.serviceClass(),
                asked.object(),
                asked.part(),
                order.source().equals(order.server()) ? null : order.source(),
                order.rank(),
                oldestMs(order.maxAgeUs()),
                order.coalesce(),
                order.onlyIfCached(),
                order.staleWhileRevalidate(),
                asked.tag(),
                asked.key(),
                asked.body(),
                guarded.contains(asked.serviceClass()));
        Attempt attempt = new Attempt(exchange, exchange.attempts.size(), order.server(), fetch, now, untilUs);
        exchange.attempts.add(attempt);
        attempt.timer = loop.at(untilUs, () -> timeout(attempt));
        scribe.sent(attempt);
        servers.send(attempt);
    }

    /** Guards the purge rule: rounded down, and never to 0, which would stand for the class's own limit. */
    static long oldestMs(long maxAgeUs) {
        return maxAgeUs <= 0 ? 0 : Math.max(1, maxAgeUs / 1000);
    }

    void cancel(Exchange exchange, int number) {
        if (number >= 0 && number < exchange.attempts.size() && !exchange.attempts.get(number).ended) {
            withdraw(exchange.attempts.get(number), AttemptStatus.CANCELLED);
        }
    }

    private void timeout(Attempt attempt) {
        if (!attempt.ended) {
            withdraw(attempt, AttemptStatus.TIMEOUT);
        }
    }

    private void withdraw(Attempt attempt, AttemptStatus status) {
        servers.abort(attempt);
        loop.post(() ->
                relay.ended(attempt, UpstreamResponse.ended(attempt.request().id(), status)));
    }
}
