package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.S;
import static petrelplank.routing.RouterFixture.cache;
import static petrelplank.routing.RouterFixture.parent;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Budgets of endpoints that have just started. */
class SlowStartTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    @Test
    void cacheInSlowStartIsSentNoMoreThanItsBudget() {
        host.change(cache("a", host.now));
        double work = 0;
        for (int i = 0; i < 2000; i++) {
            String id = host.request(i);
            if (host.attempts(id) > 0
                    && (host.lastPlan().server().equals("a")
                            || host.lastPlan().source().equals("a"))) {
                work += 100 * MS;
            }
            host.now += MS / 2;
        }
        // two gateways, one second, five links at a fifth (a little more by then), overload multiple 2.5 in two seconds
        assertTrue(work > 0);
        assertTrue(work <= 2.5 * 5 * 0.25 * 2 * S / 2, "work " + work);
    }

    @Test
    void parentInSlowStartTakesARisingShare() {
        host.change(parent("p-north", "north", host.now));
        int cold = 0;
        for (AttemptPlan o : host.fills(0, 60)) {
            cold += o.source().equals("p-north") ? 1 : 0;
        }
        host.now += 30 * S;
        int warm = 0;
        for (AttemptPlan o : host.fills(100, 160)) {
            warm += o.source().equals("p-north") ? 1 : 0;
        }
        assertTrue(cold < warm / 2, cold + " then " + warm);
    }

    @Test
    void zoneInSlowStartIsServedWithinBudgetsAndTheRestIsRejectedAtOnce() {
        host.change(cache("a", host.now), cache("b", host.now), cache("c", host.now), cache("d", host.now));
        for (int i = 0; i < 500; i++) {
            String id = host.request(i);
            assertTrue(host.attempts(id) == 1 || host.isTerminated(id));
        }
        assertTrue(host.sent.size() > 0 && host.rejected.size() > 0);
    }

    /** A drain while most of the zone is in slow start does not exceed the budgets of the other caches. */
    @Test
    void drainWhileMostOfTheZoneIsInSlowStartKeepsTheBudgetsOfTheRest() {
        host.change(cache("a", host.now), cache("b", host.now), cache("c", host.now));
        host.change(new EndpointInfo("d", "office", "box", 0, EndpointState.DRAINING, 5, 0));
        host.sent.clear();
        for (int i = 0; i < 300; i++) {
            String id = host.request(i);
            assertTrue(host.attempts(id) > 0 || host.isTerminated(id), id);
            host.now += 2 * MS;
        }
        for (String cold : List.of("a", "b", "c")) {
            // Two gateways share it: 0.45 of 2.5 times a fifth of five transfers, for 2 s and the 0.6 s that went by.
            long work = host.sent.stream()
                            .filter(s -> s.plan().server().equals(cold))
                            .count()
                    * 100
                    * MS;
            assertTrue(work <= 0.45 * 2.5 * 0.25 * 5 / 2 * 2.6 * S, cold + " " + work);
        }
        assertTrue(host.sent.stream().noneMatch(s -> s.plan().server().equals("d")));
    }
}
