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
    void requestsBypassUnreachableCachesExceptForHealthChecks() {
        Set<String> caches = Set.of("a", "b", "c", "d");
        int served = 0;
        int attemptsAtCaches = 0;
        for (int i = 0; i < 60; i++) {
            String id = host.request(i);
            while (caches.contains(host.lastPlan().server()) && !host.isRejectedOrFailed(id)) {
                attemptsAtCaches++;
                host.endAttempt(id, AttemptStatus.CONNECT_FAILED, CacheStatus.NONE, 0);
            }
            assertFalse(host.isRejectedOrFailed(id), id);
            served++;
            host.endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED, 10 * MS);
        }
        assertEquals(60, served);
        assertTrue(
                attemptsAtCaches >= 4 && attemptsAtCaches <= 8,
                "attempts at unreachable caches: " + attemptsAtCaches + ", expected 4 to 8");
    }
}
