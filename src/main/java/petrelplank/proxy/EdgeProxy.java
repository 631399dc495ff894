package petrelplank.proxy;

import petrelplank.record.EventSink;
import petrelplank.routing.Router;
import petrelplank.routing.RouterSettings;

/** The request pipeline with its router and its endpoint list, put together. Event thread only. */
public final class EdgeProxy {
    private final EventLoop loop;
    private final Router router;
    private final UpstreamClient upstream;
    private final EventRecorder recorder;
    private final OpenRequests openRequests = new OpenRequests();
    private final RequestCompletion completion;
    private final AdmissionController admission;
    private final RequestValidator validator;
    private final DiscoveryEventHandler discovery;

    /**
     * A proxy without endpoints; {@link #onEvent} brings them.
     *
     * @param loop the event thread
     * @param settings the settings
     * @param seed for the router's random numbers
     * @param maxOpen the most exchanges open at once
     * @param sink takes the proxy's events; {@link EventSink#NONE} where records are off
     * @param upstreamFactory makes the connections to the upstream servers
     */
    public EdgeProxy(
            EventLoop loop,
            RouterSettings settings,
            long seed,
            int maxOpen,
            EventSink sink,
            UpstreamClient.Factory upstreamFactory) {
        this.loop = loop;
        this.recorder = EventRecorder.to(loop, settings, sink);
        this.completion = new RequestCompletion(openRequests, recorder);
        RouterHost host = new RouterHost(loop, settings, seed, openRequests, completion, recorder, upstreamFactory);
        this.router = host.router();
        this.upstream = host.upstream();
        RoutingStage routing = new RoutingStage(loop, settings, router);
        DeadlineGuard deadlineGuard = new DeadlineGuard(loop, router, completion);
        this.admission =
                new AdmissionController(loop, maxOpen, openRequests, routing, deadlineGuard, completion, recorder);
        this.validator = new RequestValidator(admission, settings, recorder);
        this.discovery = new DiscoveryEventHandler(loop, router, upstream, recorder);
        loop.post(() -> recorder.heartbeat(openRequests));
    }

    /**
     * Handles a client's request; one whose client has gone meanwhile is dropped.
     *
     * @param request the request
     * @param channel gets the final response
     * @param arrivedUs since when its last byte may have been there to be read
     */
    public void handle(ClientRequest request, ResponseChannel channel, long arrivedUs) {
        if (channel.isOpen()) {
            validator.handle(request, channel, arrivedUs);
        }
    }

    /** Routes nothing for now: the endpoint list may lack a drain or a purge. Requests wait for {@link #resume}. */
    public void pause() {
        admission.pause();
    }

    /** The endpoint list is as new as it can be: the requests that wait are routed, in the order of their arrival. */
    public void resume() {
        admission.resume();
    }

    /**
     * A client no longer waits for its response.
     *
     * @param id the request's id
     * @param channel the channel of that request; another client's request of the same id is left alone
     */
    public void clientDisconnected(String id, ResponseChannel channel) {
        Exchange exchange = openRequests.find(id);
        if (exchange != null && exchange.channel == channel && !exchange.isCompleted()) {
            completion.clientDisconnected(exchange);
            router.clientDisconnected(loop.now(), id);
        }
    }

    /**
     * An event came from the discovery service.
     *
     * @param event the event; ignored where its number is known already
     */
    public void onEvent(DiscoveryEvent event) {
        discovery.apply(event);
    }

    /**
     * The number of the last discovery event.
     *
     * @return 0 before the first
     */
    public long lastEventIndex() {
        return discovery.lastIndex();
    }

    /**
     * Starts to drain.
     *
     * @param atUs Unix time from which nothing more is admitted, and at which all that is then open fails
     */
    public void startDrain(long atUs) {
        recorder.drainStarted(atUs);
        admission.closeAt(atUs);
    }

    /** From now on requests are rejected at once, and nothing is sent upstream any more. */
    public void stopAdmitting() {
        admission.closeAt(loop.now());
    }

    /** Records that the planned shutdown is complete: the last event. */
    public void recordStopped() {
        recorder.proxyStopped();
    }

    /**
     * Whether any client still waits for its final response.
     *
     * @return whether one does
     */
    public boolean hasPendingRequests() {
        return openRequests.hasPendingRequests();
    }

    /**
     * The outcomes of requests so far, in one line.
     *
     * @return the counts
     */
    public String counts() {
        return completion.counts();
    }

    /**
     * The state and the faults of the connections to upstream servers, in one line.
     *
     * @return the counts
     */
    public String upstreamCounts() {
        return upstream.counts();
    }
}
