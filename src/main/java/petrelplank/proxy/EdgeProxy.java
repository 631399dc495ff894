package petrelplank.proxy;

import petrelplank.record.EventSink;
import petrelplank.routing.Router;
import petrelplank.routing.RouterSettings;

/**
 * A proxy: creates the router and the stages of the request pipeline, and is the interface to them for other packages.
 * Event thread only.
 */
public final class EdgeProxy {
    private final EventLoop loop;
    private final Router router;
    private final UpstreamClient upstream;
    private final EventRecorder recorder;
    private final OpenRequests openRequests = new OpenRequests();
    private final RequestCompletion completion;
    private final AdmissionController admission;
    private final RequestValidator validator;
    private final DiscoveryEventHandler discoveryHandler;

    /**
     * Creates a proxy without endpoints; {@link #onDiscoveryEvent} adds them.
     *
     * @param loop the event loop
     * @param settings the settings
     * @param seed seed of the router's random numbers
     * @param maxOpenRequests the maximum number of open exchanges
     * @param sink receives the proxy's events; {@link EventSink#NONE} if records are off
     * @param upstreamFactory creates the client for upstream servers
     */
    public EdgeProxy(
            EventLoop loop,
            RouterSettings settings,
            long seed,
            int maxOpenRequests,
            EventSink sink,
            UpstreamClient.Factory upstreamFactory) {
        this.loop = loop;
        this.recorder = EventRecorder.forSink(loop, settings, sink);
        this.completion = new RequestCompletion(openRequests, recorder);
        RouterHost host = new RouterHost(loop, settings, seed, openRequests, completion, recorder, upstreamFactory);
        this.router = host.router();
        this.upstream = host.upstream();
        RoutingStage routing = new RoutingStage(loop, settings, router);
        DeadlineGuard deadlineGuard = new DeadlineGuard(loop, router, completion);
        this.admission = new AdmissionController(
                loop, maxOpenRequests, openRequests, routing, deadlineGuard, completion, recorder);
        this.validator = new RequestValidator(admission, settings, recorder);
        this.discoveryHandler = new DiscoveryEventHandler(loop, router, upstream, recorder);
        loop.post(() -> recorder.heartbeat(openRequests));
    }

    /**
     * Handles a client's request; drops it if the client has disconnected in the meantime.
     *
     * @param request the request
     * @param channel receives the final response
     * @param arrivedUs the earliest time at which the last byte of the request may have been readable, Unix time in
     *     microseconds
     */
    public void handle(ClientRequest request, ResponseChannel channel, long arrivedUs) {
        try {
            if (channel.isOpen()) {
                validator.handle(request, channel, arrivedUs);
            }
        } finally {
            if (!openRequests.contains(request.id(), channel)) {
                channel.requestReleased();
            }
        }
    }

    /** Stops routing, because the proxy may have missed a drain or a purge. Requests wait until {@link #resumeRouting}. */
    public void pauseRouting() {
        admission.pauseRouting();
    }

    /** Starts routing, once the endpoint list is up to date. Waiting requests are routed in the order of admission. */
    public void resumeRouting() {
        admission.resumeRouting();
    }

    /**
     * Handles a client that no longer waits for its response.
     *
     * @param id the request's id
     * @param channel the channel of that request; another client's request with the same id is not affected
     */
    public void clientDisconnected(String id, ResponseChannel channel) {
        Exchange exchange = openRequests.contains(id, channel) ? openRequests.find(id) : null;
        if (exchange != null && !exchange.isCompleted()) {
            completion.clientDisconnected(exchange);
            router.clientDisconnected(loop.nowUs(), id);
        }
    }

    /**
     * Handles an event from the discovery service.
     *
     * @param event the event; ignored if its number is not above that of the last event
     */
    public void onDiscoveryEvent(DiscoveryEvent event) {
        discoveryHandler.apply(event);
    }

    /**
     * The number of the last discovery event.
     *
     * @return the number; 0 before the first event
     */
    public long lastDiscoveryIndex() {
        return discoveryHandler.lastIndex();
    }

    /**
     * Starts to drain the proxy.
     *
     * @param shutdownAtUs when requests start to be rejected and open requests fail, Unix time in microseconds
     */
    public void startDrain(long shutdownAtUs) {
        recorder.drainStarted(shutdownAtUs);
        admission.shutDownAt(shutdownAtUs);
    }

    /** Fails all open requests and rejects further ones, so that nothing more is sent to upstream servers. */
    public void shutDownNow() {
        admission.shutDownAt(loop.nowUs());
    }

    /** Records the end of a planned shutdown; no event may follow. */
    public void recordStopped() {
        recorder.proxyStopped();
    }

    /**
     * Whether any client still waits for its final response.
     *
     * @return true if at least one does
     */
    public boolean hasPendingRequests() {
        return openRequests.hasPendingRequests();
    }

    /**
     * Counts of request outcomes since the start, as one line for the log.
     *
     * @return the counts
     */
    public String requestCounts() {
        return completion.counts();
    }

    /**
     * Counts of upstream connections and of their faults, as one line for the log.
     *
     * @return the counts
     */
    public String upstreamCounts() {
        return upstream.counts();
    }
}
