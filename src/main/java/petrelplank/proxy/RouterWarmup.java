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
 * Lets a router of its own decide on made-up requests, whose orders go nowhere, so that the decisions are compiled
 * when the first clients come. It shares nothing with the router in service.
 */
public final class RouterWarmup implements Router.Actions {
    private static final long STEP_US = 2_000;

    private AttemptPlan order;

    /**
     * Decides on some requests.
     *
     * @param settings the settings in service
     * @param list the servers of the first list
     * @param requests how many
     */
    public static void run(RouterSettings settings, List<EndpointInfo> list, int requests) {
        RouterWarmup host = new RouterWarmup();
        Router router = new RequestRouter(settings, 1, host);
        long now = STEP_US;
        router.endpointsChanged(now, true, list);
        double[] load = new double[settings.reportFields().size()];
        for (int i = 0; i < requests; i++) {
            ServiceClass type = settings.classes().get(i % settings.classes().size());
            String id = Integer.toString(i);
            host.order = null;
            router.requestReceived(
                    now,
                    new RoutingRequest(
                            id, i % 64, 0, i % 16, type.name(), now + type.deadlineUs(), 0, type.write(), false, null));
            now += STEP_US;
            if (host.order != null) {
                router.attemptEnded(
                        now,
                        new AttemptOutcome(
                                id,
                                0,
                                AttemptStatus.OK,
                                STEP_US,
                                true,
                                i % 4 == 0 ? CacheStatus.FILLED : CacheStatus.HIT,
                                0,
                                load,
                                0));
            }
        }
    }

    @Override
    public void send(String request, AttemptPlan ordered) {
        order = ordered;
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
