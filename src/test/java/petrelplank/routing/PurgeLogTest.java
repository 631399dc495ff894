package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MILLISECOND;
import static petrelplank.routing.RouterFixture.SECOND;

import org.junit.jupiter.api.Test;

/** The maximum age of acceptable copies after a purge. */
class PurgeLogTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    @Test
    void purgeBoundsTheAgeOfCopiesForAllLaterAttempts() {
        host.request("video", 5, 3, 4 * SECOND);
        assertEquals(0, host.lastPlan().maxAgeUs());
        host.router.objectPurged(host.now, 5, 100 * MILLISECOND);
        host.now += 50 * MILLISECOND;
        host.request("video", 5, 3, 4 * SECOND);
        assertTrue(host.lastPlan().maxAgeUs() > 0 && host.lastPlan().maxAgeUs() <= 150 * MILLISECOND);
        assertFalse(host.lastPlan().coalesce());
        host.router.groupPurged(host.now, 3, 0);
        host.request("video", 6, 3, 4 * SECOND);
        assertEquals(1, host.lastPlan().maxAgeUs());
        host.request("video", 6, 4, 4 * SECOND);
        assertEquals(0, host.lastPlan().maxAgeUs());
    }

    /** Guards against an old copy that a cache fills from a parent after it has dropped its own. */
    @Test
    void purgeHoldsLongerThanItsCompletionTime() {
        host.router.objectPurged(host.now, 5, 0);
        host.router.groupPurged(host.now, 3, 0);
        long purgedUs = host.now;
        host.now += 100 * SECOND;
        host.router.objectPurged(host.now, 7, 0);
        host.request("video", 5, 4, 4 * SECOND);
        assertTrue(host.lastPlan().maxAgeUs() > 99 * SECOND && host.lastPlan().maxAgeUs() < host.now - purgedUs);
        assertTrue(host.lastPlan().coalesce());
        host.request("video", 6, 3, 4 * SECOND);
        assertTrue(host.lastPlan().maxAgeUs() > 99 * SECOND && host.lastPlan().maxAgeUs() < host.now - purgedUs);
        for (int i = 0; i < 10_000; i++) {
            host.router.objectPurged(host.now, 1000 + i, 0);
        }
        host.request("video", 5, 4, 4 * SECOND);
        assertEquals(0, host.lastPlan().maxAgeUs(), "purge of object 5 should have been dropped from the full log");
    }

    @Test
    void purgeDuringAnAttemptBoundsTheNextOne() {
        String id = host.request("video", 5, 3, 4 * SECOND);
        host.now += 100 * MILLISECOND;
        host.router.objectPurged(host.now, 5, 0);
        host.endAttempt(id, AttemptStatus.RESET, CacheStatus.NONE, 200 * MILLISECOND);
        assertEquals(2, host.attemptCount(id));
        assertTrue(host.lastPlan().maxAgeUs() > 0 && host.lastPlan().maxAgeUs() <= 200 * MILLISECOND);
        assertFalse(host.lastPlan().coalesce());
    }
}
