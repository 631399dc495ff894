package petrelplank.proxy;

import petrelplank.routing.AttemptOutcome;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.Router;

/** Stage 5: forwards the first usable response to the client, and notifies the router of each attempt's end. */
public final class ResponseForwarder {
    private static final double BYTES_PER_KB = 1024.0;

    private final EventLoop loop;
    private final Router router;
    private final RequestCompletion completion;
    private final EventRecorder recorder;

    ResponseForwarder(EventLoop loop, Router router, RequestCompletion completion, EventRecorder recorder) {
        this.loop = loop;
        this.router = router;
        this.completion = completion;
        this.recorder = recorder;
    }

    /**
     * An attempt ended; any end after its first is ignored. Event thread only.
     *
     * @param attempt which
     * @param received the response, or how it ended without one
     */
    public void attemptEnded(Attempt attempt, UpstreamResponse received) {
        if (attempt.hasEnded()) {
            return;
        }
        attempt.end();
        Exchange exchange = attempt.exchange;
        UpstreamResponse response = verified(exchange.request, received);
        recorder.attemptEnded(attempt, response, loop.now() - attempt.sentUs());
        boolean serves = response.status() == AttemptStatus.OK && !exchange.isCompleted();
        long now = loop.now();
        try {
            // Before the response goes out: a hedged request that still waits to be sent must not follow it.
            router.attemptEnded(now, outcome(attempt, response, now, exchange.isCompleted() || serves));
        } finally {
            if (serves) {
                exchange.servedFrom = response.cacheStatus();
                completion.answer(exchange, clientResponse(response));
            }
            completion.release(exchange);
        }
    }

    /** Guards the client against "not modified" that is about another copy than its own, or about none. */
    private static UpstreamResponse verified(ClientRequest request, UpstreamResponse response) {
        boolean namesClientsCopy = response.tag() != null && response.tag().equals(request.tag());
        return response.notModified() && !namesClientsCopy
                ? UpstreamResponse.ended(response.id(), AttemptStatus.ERROR)
                : response;
    }

    private static AttemptOutcome outcome(Attempt attempt, UpstreamResponse response, long now, boolean completed) {
        return new AttemptOutcome(
                attempt.exchange.request.id(),
                attempt.number,
                response.status(),
                now - attempt.sentUs(),
                completed,
                response.cacheStatus(),
                response.sourceWaitUs(),
                response.load(),
                response.body().length / BYTES_PER_KB);
    }

    private static ClientResponse clientResponse(UpstreamResponse response) {
        return response.notModified()
                ? ClientResponse.of(ClientResponse.Kind.NOT_MODIFIED)
                : ClientResponse.served(response.body());
    }
}
