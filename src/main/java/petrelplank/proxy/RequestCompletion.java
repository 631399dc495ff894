package petrelplank.proxy;

/** Stage 6: sends the final response of each exchange, counts the outcomes, and removes finished exchanges. */
final class RequestCompletion {
    private final OpenRequests openRequests;
    private final EventRecorder recorder;
    private final long[] responsesByKind = new long[ClientResponse.Kind.values().length];
    private long rejectedBeforeRouting;
    private long disconnectedClients;
    private long missedDeadlines;

    RequestCompletion(OpenRequests openRequests, EventRecorder recorder) {
        this.openRequests = openRequests;
        this.recorder = recorder;
    }

    /** Sends the final response. Ignores all but the first, because a second response would invalidate the request. */
    void sendResponse(Exchange exchange, ClientResponse response) {
        if (exchange.isCompleted()) {
            return;
        }
        exchange.markCompleted();
        responsesByKind[response.kind().ordinal()]++;
        recorder.requestCompleted(exchange, response);
        exchange.channel.sendResponse(response);
        removeIfFinished(exchange);
    }

    /** Completes an exchange without a response, after the client closed its connection or cancelled the request. */
    void clientDisconnected(Exchange exchange) {
        exchange.markCompleted();
        disconnectedClients++;
        recorder.clientDisconnected(exchange);
        removeIfFinished(exchange);
    }

    /** Removes an exchange from the open requests if it is finished. */
    void removeIfFinished(Exchange exchange) {
        openRequests.removeIfFinished(exchange);
    }

    void countRejectedBeforeRouting() {
        rejectedBeforeRouting++;
    }

    /** Counts an exchange without a response by its deadline, and returns the number of such exchanges so far. */
    long countMissedDeadline() {
        return ++missedDeadlines;
    }

    /** Counts of outcomes since the start, as one line for the log. */
    String counts() {
        StringBuilder line = new StringBuilder();
        for (ClientResponse.Kind kind : ClientResponse.Kind.values()) {
            line.append(kind.label())
                    .append(' ')
                    .append(responsesByKind[kind.ordinal()])
                    .append(", ");
        }
        return line + "rejected before routing " + rejectedBeforeRouting + ", clients disconnected "
                + disconnectedClients + ", deadline exceeded " + missedDeadlines;
    }
}
