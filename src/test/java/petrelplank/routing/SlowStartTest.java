package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.SEC;
import static petrelplank.routing.RouterFixture.cache;
import static petrelplank.routing.RouterFixture.parent;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the budgets of endpoints that have just started. */
class SlowStartTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    @Test
    void cacheInSlowStartIsSentNoMoreThanItsBudget() {
        host.changeEndpoints(cache("a", host.now));
        double transferUs = 0;
        for (int i = 0; i < 2000; i++) {
            String id = host.request(i);
            if (host.attemptCount(id) > 0
                    && (host.lastPlan().server().equals("a")
                            || host.lastPlan().source().equals("a"))) {
                transferUs += 100 * MS;
            }
            host.now += MS / 2;
        }
        // Two proxies share a weight of 5; the capacity is a fifth at first and at most a quarter after one second. The
        // overload multiple is 2.5 within two seconds.
        assertTrue(transferUs > 0);
        assertTrue(transferUs <= 2.5 * 5 * 0.25 * 2 * SEC / 2, "transfer time sent to the cache in us: " + transferUs);
    }

    @Test
    void parentInSlowStartTakesARisingShare() {
        host.changeEndpoints(parent("p-north", "north", host.now));
        int inSlowStart = 0;
        for (AttemptPlan plan : host.requestAndFill(0, 60)) {
            inSlowStart += plan.source().equals("p-north") ? 1 : 0;
        }
        host.now += 30 * SEC;
        int afterwards = 0;
        for (AttemptPlan plan : host.requestAndFill(100, 160)) {
            afterwards += plan.source().equals("p-north") ? 1 : 0;
        }
        assertTrue(
                inSlowStart < afterwards / 2,
                "fills from the parent: " + inSlowStart + " in slow start, " + afterwards + " afterwards");
    }

    @Test
    void zoneInSlowStartIsServedWithinBudgetsAndTheRestIsRejectedAtOnce() {
        host.changeEndpoints(cache("a", host.now), cache("b", host.now), cache("c", host.now), cache("d", host.now));
        for (int i = 0; i < 500; i++) {
            String id = host.request(i);
            assertTrue(host.attemptCount(id) == 1 || host.isRejectedOrFailed(id));
        }
        assertTrue(host.sent.size() > 0 && host.rejected.size() > 0);
    }

    /** If a cache drains while the rest of the zone is in slow start, the budgets of the rest are not exceeded. */
    @Test
    void drainWhileMostOfTheZoneIsInSlowStartKeepsTheBudgetsOfTheRest() {
        host.changeEndpoints(cache("a", host.now), cache("b", host.now), cache("c", host.now));
        host.changeEndpoints(new EndpointInfo("d", "office", "box", 0, EndpointState.DRAINING, 5, 0));
        host.sent.clear();
        for (int i = 0; i < 300; i++) {
            String id = host.request(i);
            assertTrue(host.attemptCount(id) > 0 || host.isRejectedOrFailed(id), id);
            host.now += 2 * MS;
        }
        for (String startingCache : List.of("a", "b", "c")) {
            // Two proxies share a weight of 5, with a capacity of at most a quarter. Each uses 0.45 of the overload
            // multiple 2.5: as a burst of 2 s, and as the rate during the 0.6 s of the test.
            long transferUs = host.sent.stream()
                            .filter(attempt -> attempt.plan().server().equals(startingCache))
                            .count()
                    * 100
                    * MS;
            assertTrue(
                    transferUs <= 0.45 * 2.5 * 0.25 * 5 / 2 * 2.6 * SEC,
                    "transfer time sent to " + startingCache + " in us: " + transferUs);
        }
        assertTrue(
                host.sent.stream().noneMatch(attempt -> attempt.plan().server().equals("d")));
    }
}
