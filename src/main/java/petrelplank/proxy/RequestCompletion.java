package petrelplank.proxy;

/** Stage 6: gives each exchange its one final response, counts the outcomes, and forgets what is finished. */
final class RequestCompletion {
    private final OpenRequests openRequests;
    private final EventRecorder recorder;
    private final long[] answeredByKind = new long[ClientResponse.Kind.values().length];
    private long rejectedBeforeRouting;
    private long disconnected;
    private long deadlineExceeded;

    RequestCompletion(OpenRequests openRequests, EventRecorder recorder) {
        this.openRequests = openRequests;
        this.recorder = recorder;
    }

    /** Sends the final response; any after the first is ignored, since a second one would void the request. */
    void answer(Exchange exchange, ClientResponse response) {
        if (exchange.isCompleted()) {
            return;
        }
        exchange.complete();
        answeredByKind[response.kind().ordinal()]++;
        recorder.requestCompleted(exchange, response);
        exchange.channel.answer(response);
        release(exchange);
    }

    /** The client closed its connection or cancelled the request: no response is owed any more. */
    void clientDisconnected(Exchange exchange) {
        exchange.complete();
        disconnected++;
        recorder.clientDisconnected(exchange);
        release(exchange);
    }

    /** Forgets an exchange if it is finished. */
    void release(Exchange exchange) {
        openRequests.removeIfFinished(exchange);
    }

    void countRejectedBeforeRouting() {
        rejectedBeforeRouting++;
    }

    /** Counts an exchange that had no response by its deadline; returns how many there were so far. */
    long countDeadlineExceeded() {
        return ++deadlineExceeded;
    }

    /** One line of counts. */
    String counts() {
        StringBuilder line = new StringBuilder();
        for (ClientResponse.Kind kind : ClientResponse.Kind.values()) {
            line.append(kind.label())
                    .append(' ')
                    .append(answeredByKind[kind.ordinal()])
                    .append(", ");
        }
        return line + "rejected before routing " + rejectedBeforeRouting + ", clients disconnected " + disconnected
                + ", deadline exceeded " + deadlineExceeded;
    }
}
