package petrelplank.proxy;

import petrelplank.routing.AttemptOutcome;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.Router;

/**
 * Stage 5: the first served answer goes to the client; the router hears of every end.
 */
public final class ResponseForwarder {
    private final EventLoop loop;
    private final RequestCompletion book;
    private final SinkEventRecorder scribe;
    private Router router;

    ResponseForwarder(EventLoop loop, RequestCompletion book, SinkEventRecorder scribe) {
        this.loop = loop;
        this.book = book;
        this.scribe = scribe;
    }

    void router(Router chosen) {
        router = chosen;
    }

    /**
     * An attempt ended; an end after the first is passed over.
     *
     * @param attempt which
     * @param answered how
     */
    public void ended(Attempt attempt, UpstreamResponse answered) {
        if (attempt.ended) {
            return;
        }
        // Guards the client against "your copy holds" of another copy than its own, or of none.
        boolean named = answered.tag() != null && answered.tag().equals(attempt.exchange.asked.tag());
        UpstreamResponse answer = answered.notModified() && !named
                ? UpstreamResponse.ended(answered.id(), AttemptStatus.ERROR)
                : answered;
        attempt.ended = true;
        if (attempt.timer != null) {
            attempt.timer.cancel();
        }
        Exchange exchange = attempt.exchange;
        scribe.ended(attempt, answer, loop.now() - attempt.sentUs());
        boolean serves = answer.status() == AttemptStatus.OK && !exchange.over;
        long now = loop.now();
        try {
            // Before the answer goes out: a copy that waits to be written must not follow it.
            router.attemptEnded(
                    now,
                    new AttemptOutcome(
                            exchange.asked.id(),
                            attempt.number,
                            answer.status(),
                            now - attempt.sentUs(),
                            exchange.over || serves,
                            answer.cacheStatus(),
                            answer.sourceWaitUs(),
                            answer.load(),
                            answer.body().length / 1024.0));
        } finally {
            if (serves) {
                exchange.served = answer.cacheStatus();
                book.answer(
                        exchange,
                        answer.notModified()
                                ? ClientResponse.of(ClientResponse.Kind.NOT_MODIFIED)
                                : ClientResponse.served(answer.body()));
            }
            book.release(exchange);
        }
    }
}
