package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;

import org.junit.jupiter.api.Test;

/** Planning of attempts when no fill source is left. */
class AttemptPlannerTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    @Test
    void requestWithoutASourceIsLookedUpOnceAndRejected() {
        host.changeEndpoints(
                new EndpointInfo("p-north", "north", "parent", 0, EndpointState.REMOVED, 10, 0),
                new EndpointInfo("p-south", "south", "parent", 0, EndpointState.REMOVED, 10, 0),
                new EndpointInfo("origin", "north", "origin", 0, EndpointState.REMOVED, 10, 0));
        String id = host.request(1);
        assertEquals(host.lastPlan().server(), host.lastPlan().source());
        host.endAttempt(id, AttemptStatus.MISS, CacheStatus.NONE, MS);
        assertEquals(1, host.attemptCount(id));
        assertTrue(host.isRejectedOrFailed(id));
    }
}
