package petrelplank.proxy;

import java.util.logging.Logger;
import petrelplank.routing.AttemptPlan;
import petrelplank.routing.RequestRouter;
import petrelplank.routing.Router;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.TerminationReason;

/**
 * Owns the router and executes its actions: attempts, final responses and timers. Event thread only.
 *
 * <p>The router and the stages that execute its actions depend on each other, because the outcomes of attempts are
 * reported back to the router. This class resolves the cycle: it passes itself to the router as its
 * {@link Router.Actions}, and then creates the stages with the constructed router. This is safe because a router calls
 * no action from its constructor except {@link #watchEndpoints}, which does nothing here.
 */
final class RouterHost implements Router.Actions {
    private static final Logger LOG = Logger.getLogger(RouterHost.class.getName());
    private static final long MIN_TIMER_DELAY_US = 1000;
    private static final int US_PER_MS = 1000;

    private final EventLoop loop;
    private final OpenRequests openRequests;
    private final RequestCompletion completion;
    private final EventRecorder recorder;
    private final Router router;
    private final UpstreamClient upstream;
    private final AttemptDispatcher dispatcher;

    RouterHost(
            EventLoop loop,
            RouterSettings settings,
            long seed,
            OpenRequests openRequests,
            RequestCompletion completion,
            EventRecorder recorder,
            UpstreamClient.Factory upstreamFactory) {
        this.loop = loop;
        this.openRequests = openRequests;
        this.completion = completion;
        this.recorder = recorder;
        this.router = new RequestRouter(settings, seed, this);
        ResponseForwarder forwarder = new ResponseForwarder(loop, router, completion, recorder);
        this.upstream = upstreamFactory.create(loop, forwarder);
        this.dispatcher = new AttemptDispatcher(loop, settings, upstream, forwarder, recorder);
    }

    Router router() {
        return router;
    }

    UpstreamClient upstream() {
        return upstream;
    }

    @Override
    public void send(String requestId, AttemptPlan plan) {
        dispatcher.send(openRequests.find(requestId), plan);
    }

    @Override
    public void reject(String requestId, long retryAfterUs) {
        long retryAfterMs = (retryAfterUs + US_PER_MS - 1) / US_PER_MS;
        completion.sendResponse(openRequests.find(requestId), ClientResponse.rejected(retryAfterMs));
    }

    @Override
    public void fail(String requestId) {
        completion.sendResponse(openRequests.find(requestId), ClientResponse.of(ClientResponse.Kind.FAILED));
    }

    @Override
    public void terminated(String requestId, TerminationReason reason) {
        recorder.requestTerminated(requestId, reason);
    }

    @Override
    public void ejected(String server, boolean healthCheckFailed, long pauseUs) {
        recorder.endpointEjected(server, healthCheckFailed, pauseUs);
    }

    @Override
    public void recovered(String server) {
        recorder.endpointRecovered(server);
    }

    @Override
    public void cancel(String requestId, int attemptNumber) {
        Exchange exchange = openRequests.find(requestId);
        if (exchange != null) {
            dispatcher.cancel(exchange, attemptNumber);
        }
    }

    @Override
    public void healthCheck(String server) {
        LOG.warning("ignored a health check requested by the router: the proxy sends no health checks");
    }

    @Override
    public void gossip(int proxyNumber, byte[] payload) {
        LOG.warning("ignored a gossip message of the router: the proxy sends no gossip to other proxies");
    }

    /**
     * Sets a timer that is due in the future even if the router asks for an earlier time. As in the simulator, a timer
     * never fires in the turn that set it; otherwise a router that sets overdue timers would block the event thread.
     */
    @Override
    public void setTimer(long token, long atUs) {
        loop.schedule(Math.max(atUs, loop.nowUs() + MIN_TIMER_DELAY_US), () -> router.timerFired(loop.nowUs(), token));
    }

    /** Does nothing: the proxy follows the discovery service from the start. */
    @Override
    public void watchEndpoints() {}

    /** Does nothing: the first discovery event has the complete endpoint list, and no later event is skipped. */
    @Override
    public void fetchEndpoints() {}

    @Override
    public void log(String line) {
        LOG.info(line);
    }
}
