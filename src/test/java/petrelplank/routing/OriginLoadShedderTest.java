package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.S;

import org.junit.jupiter.api.Test;

/** How many misses may call an origin that is short, and what is done without a fill. */
class OriginLoadShedderTest {
    private final RouterFixture host = new RouterFixture().usual();

    @Test
    void failingOriginIsSparedParentsAreAskedWhatTheyHoldAndWritesStayLongest() {
        RouterFixture hits = new RouterFixture(RouterFixture.settings(
                        WeightMeaning.NOMINAL, CacheStatusDetail.HITS, RouterFixture.permissions()))
                .usual();
        for (int i = 100; i < 103; i++) {
            hits.end(hits.ask(i), AttemptStatus.ERROR, CacheStatus.NONE, 100 * MS);
        }
        int held = 0;
        int writes = 0;
        for (int i = 1000; i < 1020; i++) {
            hits.ask(i);
            held += hits.last().onlyIfCached()
                            || hits.last().source().equals(hits.last().server())
                    ? 1
                    : 0;
            writes += hits.attempts(hits.ask("note", i, 0, 3 * S)) > 0 ? 1 : 0;
        }
        assertTrue(held >= 10, "held " + held);
        assertEquals(20, writes);
        hits.now += 60 * S;
        hits.ask(5000);
        assertFalse(hits.last().onlyIfCached());
    }

    /**
     * A front of a large fleet makes few calls: a share that only time lifted slept for seconds after the origin was
     * well.
     */
    @Test
    void goodCallsLiftTheOriginsShareFasterThanTime() {
        for (int i = 0; i < 60; i++) {
            String id = host.ask(i);
            while (!host.answered(id)) {
                host.end(id, AttemptStatus.REJECTED, CacheStatus.ORIGIN_FAILED, 2 * MS);
            }
        }
        assertTrue(heldOfTen(1000) >= 8);
        long from = host.now;
        for (int i = 100; i < 160; i++) {
            String id = host.ask(i);
            if (host.last().onlyIfCached()) {
                host.end(id, AttemptStatus.MISS, CacheStatus.SOURCE_MISS, MS);
            }
            if (!host.answered(id)) {
                host.end(id, AttemptStatus.OK, CacheStatus.FILLED_FROM_ORIGIN, 20 * MS);
            }
        }
        assertTrue(host.now - from < 3 * S, "took " + (host.now - from));
        assertEquals(0, heldOfTen(2000));
    }

    /**
     * Once calls came late, a second's worth of others stood behind them, and all came late for as long as it lasted.
     */
    @Test
    void waitOfMoreThanHalfAnAimIsTakenForAQueueAtTheOrigin() {
        assertEquals(0, heldAfterWaitsOf(150 * MS));
        assertTrue(heldAfterWaitsOf(350 * MS) >= 4);
    }

    @Test
    void writesGoOnHoweverShortTheOriginIs() {
        for (int i = 0; i < 200; i++) {
            host.now += 20 * MS;
            String id = host.ask(i);
            while (!host.answered(id)) {
                host.end(id, AttemptStatus.REJECTED, CacheStatus.ORIGIN_FAILED, 5 * MS);
            }
        }
        for (int i = 1000; i < 1020; i++) {
            assertEquals(1, host.attempts(host.ask("note", i, 0, 3 * S)));
        }
    }

    private long heldOfTen(int from) {
        int before = host.sent.size();
        for (int i = from; i < from + 10; i++) {
            host.ask(i);
        }
        return host.sent.subList(before, host.sent.size()).stream()
                .filter(s -> s.order().onlyIfCached()
                        || s.order().server().equals(s.order().source()))
                .count();
    }

    private static long heldAfterWaitsOf(long waitUs) {
        RouterFixture host = new RouterFixture().usual();
        for (int i = 0; i < 40; i++) {
            String id = host.ask(i);
            if (!host.last().onlyIfCached()) {
                host.now += waitUs + 100 * MS;
                host.router.attemptEnded(
                        host.now,
                        new AttemptOutcome(
                                id,
                                0,
                                AttemptStatus.OK,
                                waitUs + 100 * MS,
                                true,
                                CacheStatus.FILLED_FROM_ORIGIN,
                                waitUs,
                                null,
                                0));
            }
        }
        int before = host.sent.size();
        for (int i = 100; i < 110; i++) {
            host.ask(i);
        }
        return host.sent.subList(before, host.sent.size()).stream()
                .filter(s -> s.order().onlyIfCached())
                .count();
    }
}
