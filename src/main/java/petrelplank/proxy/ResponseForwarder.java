package petrelplank.proxy;

import java.util.logging.Logger;
import petrelplank.routing.AttemptOutcome;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.Router;

/** Stage 5: forwards the first usable response to the client, and reports the outcome of each attempt to the router. */
public final class ResponseForwarder {
    private static final Logger LOG = Logger.getLogger(ResponseForwarder.class.getName());
    private static final int LOG_ONE_IN = 250;
    private static final double BYTES_PER_KB = 1024.0;

    private final EventLoop loop;
    private final Router router;
    private final RequestCompletion completion;
    private final EventRecorder recorder;
    private final SampledCounter withoutMemory = new SampledCounter(LOG_ONE_IN);

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
        attempt.markEnded();
        Exchange exchange = attempt.exchange;
        UpstreamResponse response = checkNotModified(exchange.request, received);
        recorder.attemptEnded(attempt, response, loop.nowUs() - attempt.sentUs());
        boolean isFinalResponse = response.status() == AttemptStatus.OK && !exchange.isCompleted();
        long nowUs = loop.nowUs();
        try {
            // The router is notified first, so that no pending hedged attempt is sent after the response.
            router.attemptEnded(nowUs, outcome(attempt, response, nowUs, exchange.isCompleted() || isFinalResponse));
        } finally {
            if (isFinalResponse) {
                exchange.servedCacheStatus = response.cacheStatus();
                completion.sendResponse(exchange, finalResponse(attempt, response));
            }
            completion.removeIfFinished(exchange);
        }
    }

    /**
     * Replaces a "not modified" response by an error unless it names the copy that the client has: the client would
     * otherwise use the wrong copy, or have none.
     */
    private static UpstreamResponse checkNotModified(ClientRequest request, UpstreamResponse response) {
        boolean matchesClientCopy =
                response.entityTag() != null && response.entityTag().equals(request.clientTag());
        return response.notModified() && !matchesClientCopy
                ? UpstreamResponse.ended(response.id(), AttemptStatus.ERROR)
                : response;
    }

    private static AttemptOutcome outcome(Attempt attempt, UpstreamResponse response, long nowUs, boolean completed) {
        return new AttemptOutcome(
                attempt.exchange.request.id(),
                attempt.number,
                response.status(),
                nowUs - attempt.sentUs(),
                completed,
                response.cacheStatus(),
                response.sourceWaitUs(),
                response.load(),
                response.bodyLength() / BYTES_PER_KB);
    }

    /** The response to the client: a failure if there is no memory for the body. */
    private ClientResponse finalResponse(Attempt attempt, UpstreamResponse response) {
        if (response.isBodyDiscarded()) {
            logWithoutMemory(attempt, response, "responses of servers are incomplete or not handled");
            return ClientResponse.of(ClientResponse.Kind.FAILED);
        }
        if (!attempt.exchange.channel.hasRoomFor(response.bodyLength())) {
            logWithoutMemory(attempt, response, "clients have not read their responses");
            return ClientResponse.of(ClientResponse.Kind.FAILED);
        }
        return response.notModified()
                ? ClientResponse.of(ClientResponse.Kind.NOT_MODIFIED)
                : ClientResponse.served(response.body());
    }

    private void logWithoutMemory(Attempt attempt, UpstreamResponse response, String cause) {
        if (withoutMemory.count()) {
            LOG.warning("response of server " + attempt.server() + " with " + response.bodyLength()
                    + " bytes replaced by a failure since memory is short: " + cause + "; " + withoutMemory.total()
                    + " replaced so far");
        }
    }
}
