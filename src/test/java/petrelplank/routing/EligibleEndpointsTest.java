package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which endpoints are eligible while many of them fail. */
class EligibleEndpointsTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    /**
     * If no cache can be reached, requests bypass the caches. Guards against trying one unreachable cache after the
     * other for each request, and against rejecting requests for seconds.
     */
    @Test
    void zoneWithUnreachableCachesUsesParentsDirectlyAndChecksItsCachesAtTimes() {
        Set<String> caches = Set.of("a", "b", "c", "d");
        int direct = 0;
        int tried = 0;
        for (int i = 0; i < 60; i++) {
            String id = host.request(i);
            while (caches.contains(host.lastPlan().server()) && !host.isTerminated(id)) {
                tried++;
                host.endAttempt(id, AttemptStatus.CONNECT_FAILED, CacheStatus.NONE, 0);
            }
            assertFalse(host.isTerminated(id), id);
            direct++;
            host.endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED, 10 * MS);
        }
        assertEquals(60, direct);
        assertTrue(tried >= 4 && tried <= 8, "attempts at unreachable caches: " + tried + ", expected 4 to 8");
    }
}
