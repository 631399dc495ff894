package petrelplank.proxy;

import petrelplank.routing.AttemptOutcome;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.Router;

/** Stage 5: forwards the first usable response to the client, and reports the outcome of each attempt to the router. */
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
     * Handles the end of an attempt; ignores attempts that have already ended. Event thread only.
     *
     * @param attempt the attempt
     * @param received the response, or a substitute with the status of an attempt that ended without one
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
            // The router is notified first, so that no pending hedged attempt is sent after the response.
            router.attemptEnded(now, outcome(attempt, response, now, exchange.isCompleted() || serves));
        } finally {
            if (serves) {
                exchange.servedFrom = response.cacheStatus();
                completion.answer(exchange, clientResponse(response));
            }
            completion.release(exchange);
        }
    }

    /**
     * Replaces a "not modified" response by an error unless it names the copy that the client has: the client would
     * otherwise use the wrong copy, or have none.
     */
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
