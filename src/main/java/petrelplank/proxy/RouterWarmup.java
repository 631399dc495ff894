package petrelplank.proxy;

import java.util.List;
import petrelplank.routing.AttemptOutcome;
import petrelplank.routing.AttemptPlan;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;
import petrelplank.routing.EndpointInfo;
import petrelplank.routing.RequestRouter;
import petrelplank.routing.Router;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.RoutingRequest;
import petrelplank.routing.ServiceClass;

/**
 * Routes synthetic requests with a separate router, so that the JIT compiler has compiled the routing code before the
 * first clients connect. Nothing is sent to any server, and no state is shared with the router in service.
 */
public final class RouterWarmup {
    private static final long SEED = 1;
    /** Simulated time from a request to the end of its attempt. */
    private static final long ATTEMPT_LATENCY_US = 2_000;

    private static final int OBJECT_COUNT = 64;
    private static final int GROUP_COUNT = 16;
    /** One in this many attempts is a miss that the cache fills; the others are hits. */
    private static final int FILL_ONE_IN = 4;

    private final RouterSettings settings;
    private final LastPlan lastPlan = new LastPlan();
    private final Router router;
    private final double[] loadReport;
    private long nowUs = ATTEMPT_LATENCY_US;

    private RouterWarmup(RouterSettings settings) {
        this.settings = settings;
        this.router = new RequestRouter(settings, SEED, lastPlan);
        this.loadReport = new double[settings.reportFields().size()];
    }

    /**
     * Routes synthetic requests.
     *
     * @param settings the settings in service
     * @param endpoints the endpoints of the first complete list
     * @param requestCount the number of requests
     */
    public static void run(RouterSettings settings, List<EndpointInfo> endpoints, int requestCount) {
        RouterWarmup warmup = new RouterWarmup(settings);
        warmup.router.endpointsChanged(warmup.nowUs, true, endpoints);
        for (int i = 0; i < requestCount; i++) {
            warmup.route(i);
        }
    }

    private void route(int requestNumber) {
        List<ServiceClass> classes = settings.classes();
        ServiceClass serviceClass = classes.get(requestNumber % classes.size());
        RoutingRequest request = new RoutingRequest(
                Integer.toString(requestNumber),
                requestNumber % OBJECT_COUNT,
                0,
                requestNumber % GROUP_COUNT,
                serviceClass.name(),
                nowUs + serviceClass.deadlineUs(),
                0,
                serviceClass.write(),
                false,
                null);
        lastPlan.plan = null;
        router.requestReceived(nowUs, request);
        nowUs += ATTEMPT_LATENCY_US;
        if (lastPlan.plan != null) {
            CacheStatus cacheStatus = requestNumber % FILL_ONE_IN == 0 ? CacheStatus.FILLED : CacheStatus.HIT;
            router.attemptEnded(
                    nowUs,
                    new AttemptOutcome(
                            request.id(),
                            0,
                            AttemptStatus.OK,
                            ATTEMPT_LATENCY_US,
                            true,
                            cacheStatus,
                            0,
                            loadReport,
                            0));
        }
    }

    /** Keeps the plan of the last attempt that the router requested, and executes no action. */
    private static final class LastPlan implements Router.Actions {
        private AttemptPlan plan;

        @Override
        public void send(String requestId, AttemptPlan requestedPlan) {
            plan = requestedPlan;
        }

        @Override
        public void reject(String requestId, long retryAfterUs) {}

        @Override
        public void fail(String requestId) {}

        @Override
        public void cancel(String requestId, int attemptNumber) {}

        @Override
        public void healthCheck(String server) {}

        @Override
        public void gossip(int proxyNumber, byte[] payload) {}

        @Override
        public void setTimer(long token, long atUs) {}

        @Override
        public void watchEndpoints() {}

        @Override
        public void fetchEndpoints() {}

        @Override
        public void log(String line) {}
    }
}
