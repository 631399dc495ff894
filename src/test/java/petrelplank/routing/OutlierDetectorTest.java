package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.SEC;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Tests ejection and recovery of endpoints. */
class OutlierDetectorTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    @Test
    void unreachableCacheIsEjectedAtOnceAndGetsAHealthCheckAfterAPause() {
        String id = host.request(1);
        String unreachable = host.lastPlan().server();
        host.endAttempt(id, AttemptStatus.CONNECT_FAILED, CacheStatus.NONE, MS);
        assertEquals(2, host.attemptCount(id));
        assertNotEquals(unreachable, host.lastPlan().server());
        host.endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED, 110 * MS);
        for (int i = 100; i < 130; i++) {
            host.request(i);
            assertNotEquals(unreachable, host.lastPlan().server());
        }
        host.now += 2 * SEC;
        int healthChecks = 0;
        for (int i = 200; i < 230; i++) {
            host.request(i);
            healthChecks += host.lastPlan().server().equals(unreachable) ? 1 : 0;
        }
        assertEquals(1, healthChecks);
    }

    /** A malformed response or a reset ends all attempts on a connection, and counts as one failure of the cache. */
    @Test
    void attemptsResetTogetherAreOneFailure() {
        for (int i = 0; i < 10; i++) {
            host.request(1);
        }
        String cache = host.lastPlan().server();
        host.now += 50 * MS;
        for (int i = 0; i < 10; i++) {
            host.router.attemptEnded(
                    host.now,
                    new AttemptOutcome("r" + i, 0, AttemptStatus.RESET, 50 * MS, false, CacheStatus.NONE, 0, null, 0));
        }
        assertEquals(List.of(), host.logLines);
        for (int i = 0; i < 2; i++) {
            host.now += 50 * MS;
            String id = host.request(1);
            assertEquals(cache, host.lastPlan().server());
            host.endAttempt(id, AttemptStatus.RESET, CacheStatus.NONE, 50 * MS);
        }
        assertEquals(1, host.logLines.size(), host.logLines.toString());
    }

    /** Guards against ejections caused by faulty clients, whose requests fail at every endpoint. */
    @Test
    void requestThatAllEndpointsFailIsTerminatedAndEjectsNone() {
        for (int i = 0; i < 8; i++) {
            String id = host.request(i);
            for (int j = 0; j < 3; j++) {
                host.endAttempt(id, AttemptStatus.ERROR, CacheStatus.NONE, MS);
            }
            assertTrue(host.isRejectedOrFailed(id));
            assertEquals(3, host.attemptCount(id));
        }
        assertEquals(List.of(), host.logLines);
        Set<String> servers = new TreeSet<>();
        host.requestAndFill(100, 200).forEach(plan -> servers.add(plan.server()));
        assertEquals(Set.of("a", "b", "c", "d"), servers);
    }

    /** A cache whose connection table is full refuses new connections, but still answers on existing ones. */
    @Test
    void failedConnectDoesNotEjectACacheThatAnswersOthers() {
        for (int i = 0; i < 20; i++) {
            host.endAttempt(host.request(i), AttemptStatus.OK, CacheStatus.HIT, 20 * MS);
        }
        String id = host.request(7);
        String fullCache = host.lastPlan().server();
        host.endAttempt(id, AttemptStatus.CONNECT_FAILED, CacheStatus.NONE, 0);
        host.endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED, 20 * MS);
        host.endAttempt(host.request(7), AttemptStatus.OK, CacheStatus.HIT, 20 * MS);
        assertEquals(fullCache, host.lastPlan().server());
        assertEquals(List.of(), host.logLines);
    }
}
