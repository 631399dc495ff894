package petrelplank.proxy;

import java.util.Objects;
import petrelplank.record.EventSink;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.TerminationReason;

/** Records what the stages do. Event thread only. */
interface EventRecorder {
    /**
     * The recorder for a sink.
     *
     * @param loop the event thread
     * @param settings the settings, recorded at once
     * @param sink takes the events; with {@link EventSink#NONE} no event is even made
     * @return a recorder
     */
    static EventRecorder to(EventLoop loop, RouterSettings settings, EventSink sink) {
        Objects.requireNonNull(sink, "sink: missing; EventSink.NONE where records are off");
        return sink == EventSink.NONE ? new NoOpEventRecorder() : new SinkEventRecorder(loop, settings, sink);
    }

    /** A request was admitted. */
    void requestAdmitted(Exchange exchange);

    /** A request was answered before the router saw it. */
    void requestRejected(ClientRequest request, ClientResponse.Kind kind);

    /** An attempt was handed to the upstream connections. */
    void attemptSent(Attempt attempt);

    /** An attempt ended, so long after it was sent. */
    void attemptEnded(Attempt attempt, UpstreamResponse response, long latencyUs);

    /** The reason for which the router rejects or fails the request that it answers next. */
    void requestTerminated(String request, TerminationReason reason);

    /** The final response goes to the client. */
    void requestCompleted(Exchange exchange, ClientResponse response);

    /** The client disconnected before its response. */
    void clientDisconnected(Exchange exchange);

    /** An event of the discovery service that was not known yet. */
    void discoveryEvent(DiscoveryEvent event);

    /** The router ejected an endpoint until its next health-check attempt, or keeps it ejected after a failed one. */
    void endpointEjected(String server, boolean healthCheckFailed, long pauseUs);

    /** An ejected endpoint is used again. */
    void endpointRecovered(String server);

    /** Records the proxy's own load, now and once a second from now on. */
    void heartbeat(OpenRequests openRequests);

    /** The proxy drains, and answers all that is open by a time. */
    void drainStarted(long answerAllUs);

    /** The proxy stopped as planned: the last event. */
    void proxyStopped();
}
