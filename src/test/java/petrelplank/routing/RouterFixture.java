package petrelplank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Records the actions of a router, and drives the router with scripted events and a manual clock. */
final class RouterFixture extends RecordingActions {
    static final long MS = 1000;
    static final long SEC = 1000 * MS;
    static final ServiceClass VIDEO = new ServiceClass(
            /* name */ "video",
            /* latencyObjectiveUs */ 400 * MS,
            /* objectiveSizeFactor */ 2,
            /* deadlineUs */ 6 * SEC,
            /* priorityWeight */ 2,
            /* lateWeightFactor */ 0.15,
            /* idempotency */ Idempotency.IDEMPOTENT,
            /* idempotencyScope */ IdempotencyScope.ALL,
            /* idempotencyWindowUs */ 0,
            /* streamed */ false,
            /* freshnessUs */ 0,
            /* staleIfErrorUs */ 0,
            /* staleWeightFactor */ 1,
            /* write */ false);
    static final ServiceClass FILE = new ServiceClass(
            /* name */ "file",
            /* latencyObjectiveUs */ 400 * MS,
            /* objectiveSizeFactor */ 2,
            /* deadlineUs */ 3 * SEC,
            /* priorityWeight */ 1,
            /* lateWeightFactor */ 0.2,
            /* idempotency */ Idempotency.IDEMPOTENT,
            /* idempotencyScope */ IdempotencyScope.ALL,
            /* idempotencyWindowUs */ 0,
            /* streamed */ false,
            /* freshnessUs */ 12 * SEC,
            /* staleIfErrorUs */ 20 * SEC,
            /* staleWeightFactor */ 0.7,
            /* write */ false);
    static final ServiceClass NOTE = new ServiceClass(
            /* name */ "note",
            /* latencyObjectiveUs */ 600 * MS,
            /* objectiveSizeFactor */ 0,
            /* deadlineUs */ 3 * SEC,
            /* priorityWeight */ 3,
            /* lateWeightFactor */ 0,
            /* idempotency */ Idempotency.IDEMPOTENT_WITH_KEY,
            /* idempotencyScope */ IdempotencyScope.ALL,
            /* idempotencyWindowUs */ 3 * SEC,
            /* streamed */ false,
            /* freshnessUs */ 0,
            /* staleIfErrorUs */ 0,
            /* staleWeightFactor */ 1,
            /* write */ true);

    Router router;
    long now = 100 * SEC;
    private int nextId;
    /** The tenant of all further requests; null for none. */
    String tenant;

    static RoutingPermissions permissions() {
        return new RoutingPermissions(8, false, true, false, false, true, SEC, true, true, SiblingFillPolicy.ANY);
    }

    static PlatformRules rules() {
        return new PlatformRules(
                2 * SEC, 0.2, 16 * SEC, 2.5, 2 * SEC, 0.07, 20 * SEC, 2, 0, 0, SEC / 2, 6 * SEC, 10 * SEC);
    }

    static RouterSettings settings(WeightMeaning weights, CacheStatusDetail detail, RoutingPermissions permissions) {
        return settings(weights, detail, permissions, 2);
    }

    static RouterSettings settings(
            WeightMeaning weights, CacheStatusDetail detail, RoutingPermissions permissions, int proxies) {
        return settings(weights, detail, permissions, proxies, List.of());
    }

    static RouterSettings settings(
            WeightMeaning weights,
            CacheStatusDetail detail,
            RoutingPermissions permissions,
            int proxies,
            List<String> reportFields) {
        return new RouterSettings(
                /* proxyIndex */ 0,
                /* proxyCount */ Math.max(2, proxies),
                /* zone */ "office",
                /* zones */ List.of("north", "south", "office"),
                /* proxyCountByZone */ List.of(0, 0, proxies),
                /* hubByZone */ List.of(0, 1, 0),
                /* linkKbPerSecondByZone */ List.of(),
                /* parentKind */ "parent",
                /* originKind */ "origin",
                /* maxResponseKbPerSecond */ 8000,
                /* weightMeaning */ weights,
                /* cacheStatusDetail */ detail,
                reportFields,
                /* watchEndpoints */ false,
                /* connectTimeoutUs */ 400 * MS,
                /* classes */ List.of(VIDEO, FILE, NOTE),
                permissions,
                rules(),
                /* tenants */ List.of(),
                /* overQuotaWeightFactor */ 0);
    }

    RouterFixture() {
        this(settings(WeightMeaning.NOMINAL, CacheStatusDetail.ALL, permissions()));
    }

    RouterFixture(RouterSettings settings) {
        router = new RequestRouter(settings, 7, this);
    }

    /** Lists four caches, a parent in each of the zones north and south, an origin, and a cache in another zone. */
    RouterFixture withUsualEndpoints() {
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

    void changeEndpoints(EndpointInfo... entries) {
        router.endpointsChanged(now, false, List.of(entries));
    }

    String request(long object) {
        return request("video", object, 0, 4 * SEC);
    }

    String request(String serviceClass, long object, int group, long timeoutUs) {
        return request(serviceClass, object, group, timeoutUs, 800);
    }

    String request(String serviceClass, long object, int group, long timeoutUs, double sizeKb) {
        String id = "r" + nextId++;
        router.requestReceived(
                now,
                new RoutingRequest(
                        id,
                        object,
                        0,
                        group,
                        serviceClass,
                        now + timeoutUs,
                        sizeKb,
                        serviceClass.equals("note"),
                        false,
                        tenant));
        return id;
    }

    AttemptPlan lastPlan() {
        return sent.get(sent.size() - 1).plan();
    }

    int attemptCount(String request) {
        return (int)
                sent.stream().filter(entry -> entry.request().equals(request)).count();
    }

    void endAttempt(String request, AttemptStatus status, CacheStatus cacheStatus, long latencyUs) {
        endAttempt(request, status, cacheStatus, latencyUs, null);
    }

    void endAttempt(String request, AttemptStatus status, CacheStatus cacheStatus, long latencyUs, double[] load) {
        endAttempt(request, status, cacheStatus, latencyUs, load, 0);
    }

    void endAttempt(
            String request,
            AttemptStatus status,
            CacheStatus cacheStatus,
            long latencyUs,
            double[] load,
            double sizeKb) {
        now += latencyUs;
        router.attemptEnded(
                now,
                new AttemptOutcome(
                        request,
                        attemptCount(request) - 1,
                        status,
                        latencyUs,
                        status == AttemptStatus.OK,
                        cacheStatus,
                        cacheStatus == CacheStatus.FILLED ? 10 * MS : 0,
                        load,
                        sizeKb));
    }

    /** Requests the objects {@code from} (inclusive) to {@code to} (exclusive); each attempt fills a copy in time. */
    List<AttemptPlan> requestAndFill(int from, int to) {
        List<AttemptPlan> plans = new ArrayList<>();
        for (int i = from; i < to; i++) {
            String id = request(i);
            if (attemptCount(id) > 0) {
                plans.add(lastPlan());
                endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED, 110 * MS);
            }
        }
        return plans;
    }

    /** Advances the clock, and fires the timers that become due, earliest first. */
    void advance(long durationUs) {
        long endUs = now + durationUs;
        while (!timers.isEmpty()) {
            var next =
                    timers.entrySet().stream().min(Map.Entry.comparingByValue()).get();
            if (next.getValue() > endUs) {
                break;
            }
            now = Math.max(now, next.getValue());
            timers.remove(next.getKey());
            router.timerFired(now, next.getKey());
        }
        now = endUs;
    }

    /** Whether the router has rejected or failed the request; false for a request that was served. */
    boolean isRejectedOrFailed(String request) {
        return rejected.contains(request) || failed.contains(request);
    }
}
