package petrelplank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A host that writes down what the router does, with short ways to script events. */
final class RouterFixture extends RecordingActions {
    static final long MS = 1000;
    static final long S = 1000 * MS;
    static final ServiceClass VIDEO = new ServiceClass(
            "video",
            400 * MS,
            2,
            6 * S,
            2,
            0.15,
            Idempotency.IDEMPOTENT,
            IdempotencyScope.ALL,
            0,
            false,
            0,
            0,
            1,
            false);
    static final ServiceClass FILE = new ServiceClass(
            "file",
            400 * MS,
            2,
            3 * S,
            1,
            0.2,
            Idempotency.IDEMPOTENT,
            IdempotencyScope.ALL,
            0,
            false,
            12 * S,
            20 * S,
            0.7,
            false);
    static final ServiceClass NOTE = new ServiceClass(
            "note",
            600 * MS,
            0,
            3 * S,
            3,
            0,
            Idempotency.IDEMPOTENT_WITH_KEY,
            IdempotencyScope.ALL,
            3 * S,
            false,
            0,
            0,
            1,
            true);

    Router router;
    long now = 100 * S;
    private int ids;
    /** Counted for whom, from now on. */
    String tenant;

    static RoutingPermissions permissions() {
        return new RoutingPermissions(8, false, true, false, false, true, S, true, true, SiblingFillPolicy.ANY);
    }

    static PlatformRules rules() {
        return new PlatformRules(2 * S, 0.2, 16 * S, 2.5, 2 * S, 0.07, 20 * S, 2, 0, 0, S / 2, 6 * S, 10 * S);
    }

    static RouterSettings settings(WeightMeaning weights, CacheStatusDetail notes, RoutingPermissions allowed) {
        return settings(weights, notes, allowed, 2);
    }

    static RouterSettings settings(
            WeightMeaning weights, CacheStatusDetail notes, RoutingPermissions allowed, int gateways) {
        return settings(weights, notes, allowed, gateways, List.of());
    }

    static RouterSettings settings(
            WeightMeaning weights,
            CacheStatusDetail notes,
            RoutingPermissions allowed,
            int gateways,
            List<String> report) {
        return new RouterSettings(
                0,
                Math.max(2, gateways),
                "office",
                List.of("north", "south", "office"),
                List.of(0, 0, gateways),
                List.of(0, 1, 0),
                List.of(),
                "parent",
                "origin",
                8000,
                weights,
                notes,
                report,
                false,
                400 * MS,
                List.of(VIDEO, FILE, NOTE),
                allowed,
                rules(),
                List.of(),
                0);
    }

    RouterFixture() {
        this(settings(WeightMeaning.NOMINAL, CacheStatusDetail.ALL, permissions()));
    }

    RouterFixture(RouterSettings settings) {
        router = new RequestRouter(settings, 7, this);
    }

    /** A usual roster: four caches, a parent at each of two hubs, an origin, a cache elsewhere. */
    RouterFixture usual() {
        router.endpointsChanged(
                now,
                true,
                List.of(
                        cache("a", 0),
                        cache("b", 0),
                        cache("c", 0),
                        cache("d", 0),
                        parent("p-north", "north", 0),
                        parent("p-south", "south", 0),
                        new EndpointInfo("origin", "north", "origin", 0, EndpointState.UP, 50, 0),
                        new EndpointInfo("far", "south", "box", 0, EndpointState.UP, 5, 0)));
        return this;
    }

    static EndpointInfo cache(String id, long startedUs) {
        return new EndpointInfo(id, "office", "box", 0, EndpointState.UP, 5, startedUs);
    }

    static EndpointInfo parent(String id, String zone, long startedUs) {
        return new EndpointInfo(id, zone, "parent", 0, EndpointState.UP, 10, startedUs);
    }

    void change(EndpointInfo... members) {
        router.endpointsChanged(now, false, List.of(members));
    }

    String ask(long object) {
        return ask("video", object, 0, 4 * S);
    }

    String ask(String type, long object, int group, long waitUs) {
        return ask(type, object, group, waitUs, 800);
    }

    String ask(String type, long object, int group, long waitUs, double sizeKb) {
        String id = "r" + ids++;
        router.requestReceived(
                now,
                new RoutingRequest(
                        id, object, 0, group, type, now + waitUs, sizeKb, type.equals("note"), false, tenant));
        return id;
    }

    AttemptPlan last() {
        return sent.get(sent.size() - 1).order();
    }

    int attempts(String request) {
        return (int) sent.stream().filter(s -> s.request().equals(request)).count();
    }

    void end(String request, AttemptStatus status, CacheStatus note, long latencyUs) {
        end(request, status, note, latencyUs, null);
    }

    void end(String request, AttemptStatus status, CacheStatus note, long latencyUs, double[] load) {
        end(request, status, note, latencyUs, load, 0);
    }

    void end(String request, AttemptStatus status, CacheStatus note, long latencyUs, double[] load, double sizeKb) {
        now += latencyUs;
        router.attemptEnded(
                now,
                new AttemptOutcome(
                        request,
                        attempts(request) - 1,
                        status,
                        latencyUs,
                        status == AttemptStatus.OK,
                        note,
                        note == CacheStatus.FILLED ? 10 * MS : 0,
                        load,
                        sizeKb));
    }

    /** Asks for many objects, each answered after a fill in good time. */
    List<AttemptPlan> fills(int from, int to) {
        List<AttemptPlan> orders = new ArrayList<>();
        for (int i = from; i < to; i++) {
            String id = ask(i);
            if (attempts(id) > 0) {
                orders.add(last());
                end(id, AttemptStatus.OK, CacheStatus.FILLED, 110 * MS);
            }
        }
        return orders;
    }

    /** Lets time pass and fires the timers that fall due in it, in order. */
    void pass(long us) {
        long end = now + us;
        while (!timers.isEmpty()) {
            var next =
                    timers.entrySet().stream().min(Map.Entry.comparingByValue()).get();
            if (next.getValue() > end) {
                break;
            }
            now = Math.max(now, next.getValue());
            timers.remove(next.getKey());
            router.timerFired(now, next.getKey());
        }
        now = end;
    }

    boolean answered(String request) {
        return refused.contains(request) || failed.contains(request);
    }
}
