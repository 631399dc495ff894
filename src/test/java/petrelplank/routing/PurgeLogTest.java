package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.S;

import org.junit.jupiter.api.Test;

/** Ages of copies after a purge. */
class PurgeLogTest {
    private final RouterFixture host = new RouterFixture().usual();

    @Test
    void purgeBoundsTheAgeOfEveryLaterSend() {
        host.ask("video", 5, 3, 4 * S);
        assertEquals(0, host.last().maxAgeUs());
        host.router.objectPurged(host.now, 5, 100 * MS);
        host.now += 50 * MS;
        host.ask("video", 5, 3, 4 * S);
        assertTrue(host.last().maxAgeUs() > 0 && host.last().maxAgeUs() <= 150 * MS);
        assertFalse(host.last().coalesce());
        host.router.groupPurged(host.now, 3, 0);
        host.ask("video", 6, 3, 4 * S);
        assertEquals(1, host.last().maxAgeUs());
        host.ask("video", 6, 4, 4 * S);
        assertEquals(0, host.last().maxAgeUs());
    }

    /** A cache may have filled an old copy at a parent after it dropped its own, and keeps it for good. */
    @Test
    void purgeBindsPastTheTimeInWhichCopiesAreDropped() {
        host.router.objectPurged(host.now, 5, 0);
        host.router.groupPurged(host.now, 3, 0);
        long made = host.now;
        host.now += 100 * S;
        host.router.objectPurged(host.now, 7, 0);
        host.ask("video", 5, 4, 4 * S);
        assertTrue(host.last().maxAgeUs() > 99 * S && host.last().maxAgeUs() < host.now - made);
        assertTrue(host.last().coalesce());
        host.ask("video", 6, 3, 4 * S);
        assertTrue(host.last().maxAgeUs() > 99 * S && host.last().maxAgeUs() < host.now - made);
        for (int i = 0; i < 10_000; i++) {
            host.router.objectPurged(host.now, 1000 + i, 0);
        }
        host.ask("video", 5, 4, 4 * S);
        assertEquals(0, host.last().maxAgeUs(), "bounded in number");
    }

    @Test
    void purgeInTheMiddleOfAnAttemptBindsTheNextOne() {
        String id = host.ask("video", 5, 3, 4 * S);
        host.now += 100 * MS;
        host.router.objectPurged(host.now, 5, 0);
        host.end(id, AttemptStatus.RESET, CacheStatus.NONE, 200 * MS);
        assertEquals(2, host.attempts(id));
        assertTrue(host.last().maxAgeUs() > 0 && host.last().maxAgeUs() <= 200 * MS);
        assertFalse(host.last().coalesce());
    }
}
