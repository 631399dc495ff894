package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;

import org.junit.jupiter.api.Test;

/** What is done without a source. */
class AttemptPlannerTest {
    private final RouterFixture host = new RouterFixture().usual();

    @Test
    void requestWithNoSourceLeftLooksOnceAndIsAnswered() {
        host.change(
                new EndpointInfo("p-north", "north", "parent", 0, EndpointState.REMOVED, 10, 0),
                new EndpointInfo("p-south", "south", "parent", 0, EndpointState.REMOVED, 10, 0),
                new EndpointInfo("origin", "north", "origin", 0, EndpointState.REMOVED, 10, 0));
        String id = host.ask(1);
        assertEquals(host.last().server(), host.last().source());
        host.end(id, AttemptStatus.MISS, CacheStatus.NONE, MS);
        assertEquals(1, host.attempts(id));
        assertTrue(host.answered(id));
    }
}
