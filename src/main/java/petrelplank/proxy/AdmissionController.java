package petrelplank.proxy;

/**
 * Stage 2: admits requests and starts their deadline timers. The number of open exchanges is limited, because each one
 * holds memory. A request that is rejected here has not been sent to any server.
 */
final class AdmissionController {
    private static final long RETRY_AFTER_MS = 1_000;

    private final EventLoop loop;
    private final int maxOpenRequests;
    private final OpenRequests openRequests;
    private final RoutingStage routing;
    private final DeadlineGuard deadlineGuard;
    private final RequestCompletion completion;
    private final EventRecorder recorder;
    private long shutdownAtUs = Long.MAX_VALUE;
    private boolean routingPaused;

    AdmissionController(
            EventLoop loop,
            int maxOpenRequests,
            OpenRequests openRequests,
            RoutingStage routing,
            DeadlineGuard deadlineGuard,
            RequestCompletion completion,
            EventRecorder recorder) {
        this.loop = loop;
        this.maxOpenRequests = maxOpenRequests;
        this.openRequests = openRequests;
        this.routing = routing;
        this.deadlineGuard = deadlineGuard;
        this.completion = completion;
        this.recorder = recorder;
    }

    void admit(Exchange exchange) {
        if (!canAdmit(exchange)) {
            completion.countRejectedBeforeRouting();
            recorder.requestRejected(exchange.request, ClientResponse.Kind.REJECTED);
            exchange.channel.sendResponse(ClientResponse.rejected(RETRY_AFTER_MS));
            return;
        }
        openRequests.add(exchange);
        deadlineGuard.startTimer(exchange, shutdownAtUs);
        recorder.requestAdmitted(exchange);
        if (routingPaused) {
            openRequests.deferRouting(exchange);
        } else {
            routing.route(exchange);
        }
    }

    private boolean canAdmit(Exchange exchange) {
        return openRequests.size() < maxOpenRequests
                && !openRequests.contains(exchange.request.id())
                && loop.nowUs() < shutdownAtUs;
    }

    /**
     * Stops routing until {@link #resumeRouting}. Requests are still admitted and wait to be routed, until their
     * deadlines at most.
     */
    void pauseRouting() {
        routingPaused = true;
    }

    /** Starts routing again, beginning with the requests that wait, in the order of their admission. */
    void resumeRouting() {
        routingPaused = false;
        openRequests.takeDeferred().forEach(routing::route);
    }

    /** Sets the time from which requests are rejected, and at which the exchanges that are still open fail. */
    void shutDownAt(long atUs) {
        shutdownAtUs = atUs;
        openRequests.forEach(exchange -> deadlineGuard.failAt(exchange, atUs));
    }
}
