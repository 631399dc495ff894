package petrelplank.proxy;

/**
 * Stage 2: opens exchanges, no more at once than memory allows, and guards each at its deadline. What is rejected here
 * has not been sent anywhere.
 */
final class AdmissionController {
    private static final long RETRY_AFTER_MS = 1_000;

    private final EventLoop loop;
    private final int maxOpen;
    private final OpenRequests openRequests;
    private final RoutingStage routing;
    private final DeadlineGuard deadlineGuard;
    private final RequestCompletion completion;
    private final EventRecorder recorder;
    private long closeAtUs = Long.MAX_VALUE;
    private boolean routingPaused;

    AdmissionController(
            EventLoop loop,
            int maxOpen,
            OpenRequests openRequests,
            RoutingStage routing,
            DeadlineGuard deadlineGuard,
            RequestCompletion completion,
            EventRecorder recorder) {
        this.loop = loop;
        this.maxOpen = maxOpen;
        this.openRequests = openRequests;
        this.routing = routing;
        this.deadlineGuard = deadlineGuard;
        this.completion = completion;
        this.recorder = recorder;
    }

    void admit(Exchange exchange) {
        if (!hasRoom(exchange)) {
            completion.countRejectedBeforeRouting();
            recorder.requestRejected(exchange.request, ClientResponse.Kind.REJECTED);
            exchange.channel.answer(ClientResponse.rejected(RETRY_AFTER_MS));
            return;
        }
        openRequests.add(exchange);
        deadlineGuard.watch(exchange, closeAtUs);
        recorder.requestAdmitted(exchange);
        if (routingPaused) {
            openRequests.deferRouting(exchange);
        } else {
            routing.route(exchange);
        }
    }

    private boolean hasRoom(Exchange exchange) {
        return openRequests.size() < maxOpen && !openRequests.contains(exchange.request.id()) && loop.now() < closeAtUs;
    }

    /** Routes nothing until {@link #resume}; what is admitted waits, no longer than its deadline allows. */
    void pause() {
        routingPaused = true;
    }

    void resume() {
        routingPaused = false;
        openRequests.takeUnrouted().forEach(routing::route);
    }

    /** From a time on nothing is admitted, and whatever is still open then fails. */
    void closeAt(long atUs) {
        closeAtUs = atUs;
        openRequests.forEach(exchange -> deadlineGuard.failAt(exchange, atUs));
    }
}
