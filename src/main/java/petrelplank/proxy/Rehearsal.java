package petrelplank.proxy;

import java.util.List;
import petrelplank.routing.Brain;
import petrelplank.routing.Member;
import petrelplank.routing.Note;
import petrelplank.routing.Order;
import petrelplank.routing.Outcome;
import petrelplank.routing.Request;
import petrelplank.routing.Router;
import petrelplank.routing.ServiceClass;
import petrelplank.routing.Settings;
import petrelplank.routing.Status;

/**
 * Lets a router of its own decide on made-up requests, whose orders go nowhere, so that the decisions are compiled
 * when the first clients come. It shares nothing with the router in service.
 */
public final class Rehearsal implements Router.Actions {
    private static final long STEP_US = 2_000;

    private Order order;

    /**
     * Decides on some requests.
     *
     * @param settings the settings in service
     * @param list the servers of the first list
     * @param requests how many
     */
    public static void run(Settings settings, List<Member> list, int requests) {
        Rehearsal host = new Rehearsal();
        Router router = new Brain(settings, 1, host);
        long now = STEP_US;
        router.roster(now, true, list);
        double[] load = new double[settings.reportFields().size()];
        for (int i = 0; i < requests; i++) {
            ServiceClass type = settings.classes().get(i % settings.classes().size());
            String id = Integer.toString(i);
            host.order = null;
            router.request(
                    now,
                    new Request(id, i % 64, 0, i % 16, type.name(), now + type.deadlineUs(), 0, type.write(), false));
            now += STEP_US;
            if (host.order != null) {
                router.outcome(
                        now,
                        new Outcome(id, 0, Status.OK, STEP_US, true, i % 4 == 0 ? Note.FILLED : Note.HIT, 0, load, 0));
            }
        }
    }

    @Override
    public void send(String request, Order ordered) {
        order = ordered;
    }

    @Override
    public void refuse(String request, long retryAfterUs) {}

    @Override
    public void fail(String request) {}

    @Override
    public void cancel(String request, int attempt) {}

    @Override
    public void probe(String server) {}

    @Override
    public void tell(int gateway, byte[] data) {}

    @Override
    public void timer(long token, long atUs) {}

    @Override
    public void subscribe() {}

    @Override
    public void fetchRoster() {}

    @Override
    public void log(String line) {}
}
