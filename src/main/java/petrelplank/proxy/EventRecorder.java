package petrelplank.proxy;

import java.util.Objects;
import petrelplank.record.EventSink;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.TerminationReason;

/** Records the events of the request pipeline. Event thread only. */
interface EventRecorder {
    /**
     * Creates the recorder for a sink.
     *
     * @param loop the event loop
     * @param settings the settings, which are recorded immediately
     * @param sink receives the events; no event objects are created for {@link EventSink#NONE}
     * @return the recorder
     */
    static EventRecorder forSink(EventLoop loop, RouterSettings settings, EventSink sink) {
        Objects.requireNonNull(sink, "sink is null; pass EventSink.NONE to turn records off");
        return sink == EventSink.NONE ? new NoOpEventRecorder() : new SinkEventRecorder(loop, settings, sink);
    }

    /** Records that a request was admitted. */
    void requestAdmitted(Exchange exchange);

    /** Records that a request was rejected before it was routed: it is malformed or was not admitted. */
    void requestRejected(ClientRequest request, ClientResponse.Kind kind);

    /** Records that an attempt is handed to the upstream client. */
    void attemptSent(Attempt attempt);

    /** Records that an attempt ended; the latency is the time since it was sent. */
    void attemptEnded(Attempt attempt, UpstreamResponse response, long latencyUs);

    /**
     * Sets the reason why the router rejects or fails a request. It is recorded with the final response to that
     * request, which has to follow before that to any other request.
     */
    void requestTerminated(String requestId, TerminationReason reason);

    /** Records the final response to a client. */
    void requestCompleted(Exchange exchange, ClientResponse response);

    /** Records that a client disconnected before its final response. */
    void clientDisconnected(Exchange exchange);

    /** Records a new event from the discovery service. */
    void discoveryEvent(DiscoveryEvent event);

    /** Records that the router ejects an endpoint until a health-check attempt, or still does after a failed one. */
    void endpointEjected(String server, boolean healthCheckFailed, long pauseUs);

    /** Records that an ejected endpoint is used again. */
    void endpointRecovered(String server);

    /** Records the proxy's own load, now and then once a second. */
    void heartbeat(OpenRequests openRequests);

    /** Records that the proxy drains, and the time by which every open request gets its final response. */
    void drainStarted(long completionDeadlineUs);

    /** Records the end of a planned shutdown, as the last event. */
    void proxyStopped();
}
