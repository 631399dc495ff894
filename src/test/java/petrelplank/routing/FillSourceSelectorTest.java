package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;

import org.junit.jupiter.api.Test;

/** Tests the source from which a miss is filled. */
class FillSourceSelectorTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    @Test
    void missIsFilledFromTheNearestParentWhileAllServeWell() {
        long fillsFromNearest = host.requestAndFill(0, 200).stream()
                .filter(plan -> plan.source().equals("p-north"))
                .count();
        assertTrue(
                fillsFromNearest > 180,
                "fills from the nearest parent: " + fillsFromNearest + " of 200, expected more than 180");
    }

    @Test
    void failingParentIsAvoidedAfterAFewFailures() {
        for (int i = 0; i < 8; i++) {
            String id = host.request(i);
            if (host.lastPlan().source().equals("p-north")) {
                host.endAttempt(id, AttemptStatus.REJECTED, CacheStatus.SOURCE_UNREACHABLE, 50 * MS);
            }
            host.endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED, 110 * MS);
        }
        long fillsFromFailingParent = 0;
        for (int i = 100; i < 110; i++) {
            host.request(i);
            fillsFromFailingParent += host.lastPlan().source().equals("p-north") ? 1 : 0;
        }
        assertTrue(
                fillsFromFailingParent <= 1,
                "attempts with the failing parent: " + fillsFromFailingParent + " of 10, expected at most 1");
    }

    @Test
    void originIsTheSourceOnlyWhereNoParentIsReady() {
        host.requestAndFill(0, 100).forEach(plan -> assertNotEquals("origin", plan.source()));
        host.changeEndpoints(
                new EndpointInfo("p-north", "north", "parent", 0, EndpointState.DRAINING, 10, 0),
                new EndpointInfo("p-south", "south", "parent", 0, EndpointState.REMOVED, 10, 0));
        host.request(1000);
        assertEquals("origin", host.lastPlan().source());
    }

    @Test
    void unreachableOnlyParentLeavesTheOriginAsSource() {
        host.changeEndpoints(new EndpointInfo("p-south", "south", "parent", 0, EndpointState.REMOVED, 10, 0));
        host.endAttempt(host.request(0), AttemptStatus.REJECTED, CacheStatus.SOURCE_UNREACHABLE, 50 * MS);
        for (int i = 100; i < 110; i++) {
            host.request(i);
            assertEquals("origin", host.lastPlan().source());
        }
    }
}
