package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Tests which cache is selected: rendezvous hashing, popular objects, caches at their concurrency limit. */
class CacheSelectorTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    @Test
    void popularObjectIsServedByTwoOrThreeCaches() {
        Set<String> servers = new TreeSet<>();
        for (int i = 0; i < 40; i++) {
            host.request(1);
            servers.add(host.lastPlan().server());
        }
        assertTrue(servers.size() >= 2 && servers.size() <= 3, servers.toString());
    }

    /** Guards against rejecting the requests of a cache at its limit while other caches have spare capacity. */
    @Test
    void cacheAtItsLimitPassesRequestsOnlyToCachesThatReportRoom() {
        assertTrue(serversAfterACacheReachesItsLimit(new double[] {1, 0.5, 0.5}).size() > 1);
        assertEquals(
                1,
                serversAfterACacheReachesItsLimit(new double[] {30, 0.5, 0.5}).size());
    }

    private static Set<String> serversAfterACacheReachesItsLimit(double[] loadReport) {
        RouterFixture reportingHost = new RouterFixture(RouterFixture.settings(
                        WeightMeaning.ROUGH,
                        CacheStatusDetail.ALL,
                        RouterFixture.permissions(),
                        2,
                        List.of("concurrent", "x0", "x1")))
                .withUsualEndpoints();
        List<Integer> objects = new java.util.ArrayList<>();
        for (int i = 0; i < 400; i++) {
            String id = reportingHost.request(i);
            if (reportingHost.lastPlan().server().equals("a")) {
                objects.add(i);
            }
            reportingHost.endAttempt(id, AttemptStatus.OK, CacheStatus.HIT, 100 * MS, loadReport);
        }
        int sentBefore = reportingHost.sent.size();
        objects.forEach(reportingHost::request);
        Set<String> servers = new TreeSet<>();
        reportingHost
                .sent
                .subList(sentBefore, reportingHost.sent.size())
                .forEach(attempt -> servers.add(attempt.plan().server()));
        return servers;
    }

    @Test
    void oneObjectGoesToOneCacheAndManyObjectsToAllCaches() {
        Set<String> serversOfOneObject = new TreeSet<>();
        Set<String> serversOfManyObjects = new TreeSet<>();
        host.requestAndFill(0, 100).forEach(plan -> serversOfManyObjects.add(plan.server()));
        for (int i = 0; i < 3; i++) {
            host.requestAndFill(500, 501).forEach(plan -> serversOfOneObject.add(plan.server()));
        }
        assertEquals(Set.of("a", "b", "c", "d"), serversOfManyObjects);
        assertEquals(1, serversOfOneObject.size());
    }
}
