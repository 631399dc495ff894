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
    private static final long STEP_US = 2_000;

    private static final int OBJECTS = 64;
    private static final int GROUPS = 16;
    /** One in this many attempts is a miss that the cache fills; the others are hits. */
    private static final int FILLED_ONE_IN = 4;

    private final RouterSettings settings;
    private final LastPlan lastPlan = new LastPlan();
    private final Router router;
    private final double[] load;
    private long nowUs = STEP_US;

    private RouterWarmup(RouterSettings settings) {
        this.settings = settings;
        this.router = new RequestRouter(settings, SEED, lastPlan);
        this.load = new double[settings.reportFields().size()];
    }

    /**
     * Routes synthetic requests.
     *
     * @param settings the settings in service
     * @param endpoints the endpoints of the first complete list
     * @param requests the number of requests
     */
    public static void run(RouterSettings settings, List<EndpointInfo> endpoints, int requests) {
        RouterWarmup warmup = new RouterWarmup(settings);
        warmup.router.endpointsChanged(warmup.nowUs, true, endpoints);
        for (int i = 0; i < requests; i++) {
            warmup.route(i);
        }
    }

    private void route(int number) {
        List<ServiceClass> classes = settings.classes();
        ServiceClass type = classes.get(number % classes.size());
        RoutingRequest request = new RoutingRequest(
                Integer.toString(number),
                number % OBJECTS,
                0,
                number % GROUPS,
                type.name(),
                nowUs + type.deadlineUs(),
                0,
                type.write(),
                false,
                null);
        lastPlan.plan = null;
        router.requestReceived(nowUs, request);
        nowUs += STEP_US;
        if (lastPlan.plan != null) {
            CacheStatus cacheStatus = number % FILLED_ONE_IN == 0 ? CacheStatus.FILLED : CacheStatus.HIT;
            router.attemptEnded(
                    nowUs,
                    new AttemptOutcome(request.id(), 0, AttemptStatus.OK, STEP_US, true, cacheStatus, 0, load, 0));
        }
    }

    /** Keeps the plan of the last attempt that the router requested, and executes no action. */
    private static final class LastPlan implements Router.Actions {
        private AttemptPlan plan;

        @Override
        public void send(String request, AttemptPlan ordered) {
            plan = ordered;
        }

        @Override
        public void reject(String request, long retryAfterUs) {}

        @Override
        public void fail(String request) {}

        @Override
        public void cancel(String request, int attempt) {}

        @Override
        public void healthCheck(String server) {}

        @Override
        public void gossip(int gateway, byte[] data) {}

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
