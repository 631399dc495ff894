package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.SEC;

import org.junit.jupiter.api.Test;

/** Tests how many misses may call an overloaded origin. */
class OriginLoadShedderTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    @Test
    void failingOriginGetsFewerFillsAndAllWrites() {
        RouterFixture fixtureWithHitStatusOnly = new RouterFixture(RouterFixture.settings(
                        WeightMeaning.NOMINAL, CacheStatusDetail.HITS, RouterFixture.permissions()))
                .withUsualEndpoints();
        for (int i = 100; i < 103; i++) {
            fixtureWithHitStatusOnly.endAttempt(
                    fixtureWithHitStatusOnly.request(i), AttemptStatus.ERROR, CacheStatus.NONE, 100 * MS);
        }
        int withheld = 0;
        int writes = 0;
        for (int i = 1000; i < 1020; i++) {
            fixtureWithHitStatusOnly.request(i);
            withheld += fixtureWithHitStatusOnly.lastPlan().onlyIfCached()
                            || fixtureWithHitStatusOnly
                                    .lastPlan()
                                    .source()
                                    .equals(fixtureWithHitStatusOnly.lastPlan().server())
                    ? 1
                    : 0;
            writes += fixtureWithHitStatusOnly.attemptCount(fixtureWithHitStatusOnly.request("note", i, 0, 3 * SEC)) > 0
                    ? 1
                    : 0;
        }
        assertTrue(withheld >= 10, "misses that may not call the origin: " + withheld + " of 20, expected at least 10");
        assertEquals(20, writes);
        fixtureWithHitStatusOnly.now += 60 * SEC;
        fixtureWithHitStatusOnly.request(5000);
        assertFalse(fixtureWithHitStatusOnly.lastPlan().onlyIfCached());
    }

    /**
     * Guards against an origin share that stays low for seconds after the origin has recovered: a single proxy of a
     * large fleet makes few calls, so each successful one has to raise the share.
     */
    @Test
    void originShareRecoversWithinThreeSecondsOfSuccessfulCalls() {
        for (int i = 0; i < 60; i++) {
            String id = host.request(i);
            while (!host.isRejectedOrFailed(id)) {
                host.endAttempt(id, AttemptStatus.REJECTED, CacheStatus.ORIGIN_FAILED, 2 * MS);
            }
        }
        assertTrue(onlyIfCachedOfTenRequests(1000) >= 8);
        long startUs = host.now;
        for (int i = 100; i < 160; i++) {
            String id = host.request(i);
            if (host.lastPlan().onlyIfCached()) {
                host.endAttempt(id, AttemptStatus.MISS, CacheStatus.SOURCE_MISS, MS);
            }
            if (!host.isRejectedOrFailed(id)) {
                host.endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED_FROM_ORIGIN, 20 * MS);
            }
        }
        assertTrue(
                host.now - startUs < 3 * SEC,
                "recovery took us " + (host.now - startUs) + ", expected less than " + 3 * SEC);
        assertEquals(0, onlyIfCachedOfTenRequests(2000));
    }

    /**
     * Guards against a queue at the origin: when the first late response arrives, the calls of about a second are
     * already queued behind it and will be late as well.
     */
    @Test
    void longOriginWaitLimitsFills() {
        assertEquals(0, onlyIfCachedAfterWaitsOf(150 * MS));
        assertTrue(onlyIfCachedAfterWaitsOf(350 * MS) >= 4);
    }

    @Test
    void writesContinueHoweverOverloadedTheOriginIs() {
        for (int i = 0; i < 200; i++) {
            host.now += 20 * MS;
            String id = host.request(i);
            while (!host.isRejectedOrFailed(id)) {
                host.endAttempt(id, AttemptStatus.REJECTED, CacheStatus.ORIGIN_FAILED, 5 * MS);
            }
        }
        for (int i = 1000; i < 1020; i++) {
            assertEquals(1, host.attemptCount(host.request("note", i, 0, 3 * SEC)));
        }
    }

    private long onlyIfCachedOfTenRequests(int firstObject) {
        int sentBefore = host.sent.size();
        for (int i = firstObject; i < firstObject + 10; i++) {
            host.request(i);
        }
        return host.sent.subList(sentBefore, host.sent.size()).stream()
                .filter(attempt -> attempt.plan().onlyIfCached()
                        || attempt.plan().server().equals(attempt.plan().source()))
                .count();
    }

    private static long onlyIfCachedAfterWaitsOf(long waitUs) {
        RouterFixture host = new RouterFixture().withUsualEndpoints();
        for (int i = 0; i < 40; i++) {
            String id = host.request(i);
            if (!host.lastPlan().onlyIfCached()) {
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
        int sentBefore = host.sent.size();
        for (int i = 100; i < 110; i++) {
            host.request(i);
        }
        return host.sent.subList(sentBefore, host.sent.size()).stream()
                .filter(attempt -> attempt.plan().onlyIfCached())
                .count();
    }
}
