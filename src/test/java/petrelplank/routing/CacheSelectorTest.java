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
        assertTrue(serversOfTheObjectsOfACacheAtItsLimit(new double[] {1, 0.5, 0.5})
                        .size()
                > 1);
        assertEquals(
                1,
                serversOfTheObjectsOfACacheAtItsLimit(new double[] {30, 0.5, 0.5})
                        .size());
    }

    private static Set<String> serversOfTheObjectsOfACacheAtItsLimit(double[] report) {
        RouterFixture told = new RouterFixture(RouterFixture.settings(
                        WeightMeaning.ROUGH,
                        CacheStatusDetail.ALL,
                        RouterFixture.permissions(),
                        2,
                        List.of("concurrent", "x0", "x1")))
                .withUsualEndpoints();
        List<Integer> objects = new java.util.ArrayList<>();
        for (int i = 0; i < 400; i++) {
            String id = told.request(i);
            if (told.lastPlan().server().equals("a")) {
                objects.add(i);
            }
            told.endAttempt(id, AttemptStatus.OK, CacheStatus.HIT, 100 * MS, report);
        }
        int before = told.sent.size();
        objects.forEach(told::request);
        Set<String> servers = new TreeSet<>();
        told.sent
                .subList(before, told.sent.size())
                .forEach(s -> servers.add(s.plan().server()));
        return servers;
    }

    @Test
    void oneObjectGoesToOneCacheAndManyObjectsToAllCaches() {
        Set<String> one = new TreeSet<>();
        Set<String> many = new TreeSet<>();
        host.fills(0, 100).forEach(o -> many.add(o.server()));
        for (int i = 0; i < 3; i++) {
            host.fills(500, 501).forEach(o -> one.add(o.server()));
        }
        assertEquals(Set.of("a", "b", "c", "d"), many);
        assertEquals(1, one.size());
    }
}
