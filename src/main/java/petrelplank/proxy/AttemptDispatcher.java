package petrelplank.proxy;

import java.util.Set;
import java.util.stream.Collectors;
import petrelplank.routing.AttemptPlan;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.Idempotency;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.ServiceClass;

/** Stage 4: sends the attempts that the router requests, and aborts them on timeout or when the router cancels them. */
final class AttemptDispatcher {
    private static final int US_PER_MS = 1000;

    private final EventLoop loop;
    private final UpstreamClient upstream;
    private final ResponseForwarder forwarder;
    private final EventRecorder recorder;
    /** Names of the service classes whose requests are not idempotent, or only with an idempotency key. */
    private final Set<String> nonIdempotentClasses;

    AttemptDispatcher(
            EventLoop loop,
            RouterSettings settings,
            UpstreamClient upstream,
            ResponseForwarder forwarder,
            EventRecorder recorder) {
        this.loop = loop;
        this.upstream = upstream;
        this.forwarder = forwarder;
        this.recorder = recorder;
        this.nonIdempotentClasses = settings.classes().stream()
                .filter(serviceClass -> serviceClass.idempotency() != Idempotency.IDEMPOTENT)
                .map(ServiceClass::name)
                .collect(Collectors.toSet());
    }

    void send(Exchange exchange, AttemptPlan plan) {
        long nowUs = loop.nowUs();
        long timeoutAtUs = nowUs + plan.timeoutUs();
        Attempt attempt = new Attempt(
                exchange,
                exchange.attempts.size(),
                plan.server(),
                upstreamRequest(exchange.request, plan),
                nowUs,
                timeoutAtUs,
                nowUs + plan.sendWithinUs());
        exchange.attempts.add(attempt);
        attempt.setTimeoutTimer(loop.schedule(timeoutAtUs, () -> abort(attempt, AttemptStatus.TIMEOUT)));
        if (plan.sendWithinUs() < plan.timeoutUs()) {
            loop.schedule(nowUs + plan.sendWithinUs(), () -> upstream.withdrawUnlessWritten(attempt));
        }
        recorder.attemptSent(attempt);
        upstream.send(attempt);
    }

    private UpstreamRequest upstreamRequest(ClientRequest request, AttemptPlan plan) {
        boolean hasFillSource = !plan.source().equals(plan.server());
        return new UpstreamRequest(
                request.id(),
                request.serviceClass(),
                request.object(),
                request.part(),
                hasFillSource ? plan.source() : null,
                plan.rank(),
                maxAgeMs(plan.maxAgeUs()),
                plan.coalesce(),
                plan.onlyIfCached(),
                plan.staleWhileRevalidate(),
                request.clientTag(),
                request.idempotencyKey(),
                request.body(),
                nonIdempotentClasses.contains(request.serviceClass()));
    }

    /**
     * Converts an age limit to milliseconds. It is rounded down, so that no copy from before a purge is accepted, but
     * never to 0, which means the limit of the service class.
     */
    static long maxAgeMs(long maxAgeUs) {
        return maxAgeUs <= 0 ? 0 : Math.max(1, maxAgeUs / US_PER_MS);
    }

    /** Cancels the attempt with this number; does nothing if it has ended or was never sent. */
    void cancel(Exchange exchange, int number) {
        if (number >= 0 && number < exchange.attempts.size()) {
            abort(exchange.attempts.get(number), AttemptStatus.CANCELLED);
        }
    }

    private void abort(Attempt attempt, AttemptStatus status) {
        if (attempt.hasEnded()) {
            return;
        }
        upstream.abort(attempt);
        UpstreamResponse result = UpstreamResponse.ended(attempt.request().id(), status);
        loop.post(() -> forwarder.attemptEnded(attempt, result));
    }
}
