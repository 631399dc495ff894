package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.SEC;

import org.junit.jupiter.api.Test;

/** The maximum age of acceptable copies after a purge. */
class PurgeLogTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    @Test
    void purgeBoundsTheAgeOfCopiesForAllLaterAttempts() {
        host.request("video", 5, 3, 4 * SEC);
        assertEquals(0, host.lastPlan().maxAgeUs());
        host.router.objectPurged(host.now, 5, 100 * MS);
        host.now += 50 * MS;
        host.request("video", 5, 3, 4 * SEC);
        assertTrue(host.lastPlan().maxAgeUs() > 0 && host.lastPlan().maxAgeUs() <= 150 * MS);
        assertFalse(host.lastPlan().coalesce());
        host.router.groupPurged(host.now, 3, 0);
        host.request("video", 6, 3, 4 * SEC);
        assertEquals(1, host.lastPlan().maxAgeUs());
        host.request("video", 6, 4, 4 * SEC);
        assertEquals(0, host.lastPlan().maxAgeUs());
    }

    /** Guards against an old copy that a cache fills from a parent after it has dropped its own. */
    @Test
    void purgeHoldsLongerThanItsCompletionTime() {
        host.router.objectPurged(host.now, 5, 0);
        host.router.groupPurged(host.now, 3, 0);
        long purgedUs = host.now;
        host.now += 100 * SEC;
        host.router.objectPurged(host.now, 7, 0);
        host.request("video", 5, 4, 4 * SEC);
        assertTrue(host.lastPlan().maxAgeUs() > 99 * SEC && host.lastPlan().maxAgeUs() < host.now - purgedUs);
        assertTrue(host.lastPlan().coalesce());
        host.request("video", 6, 3, 4 * SEC);
        assertTrue(host.lastPlan().maxAgeUs() > 99 * SEC && host.lastPlan().maxAgeUs() < host.now - purgedUs);
        for (int i = 0; i < 10_000; i++) {
            host.router.objectPurged(host.now, 1000 + i, 0);
        }
        host.request("video", 5, 4, 4 * SEC);
        assertEquals(0, host.lastPlan().maxAgeUs(), "purge of object 5 should have been dropped from the full log");
    }

    @Test
    void purgeDuringAnAttemptBoundsTheNextOne() {
        String id = host.request("video", 5, 3, 4 * SEC);
        host.now += 100 * MS;
        host.router.objectPurged(host.now, 5, 0);
        host.endAttempt(id, AttemptStatus.RESET, CacheStatus.NONE, 200 * MS);
        assertEquals(2, host.attemptCount(id));
        assertTrue(host.lastPlan().maxAgeUs() > 0 && host.lastPlan().maxAgeUs() <= 200 * MS);
        assertFalse(host.lastPlan().coalesce());
    }
}
