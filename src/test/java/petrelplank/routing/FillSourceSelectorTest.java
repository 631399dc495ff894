package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;

import org.junit.jupiter.api.Test;

/** From where a miss is filled. */
class FillSourceSelectorTest {
    private final RouterFixture host = new RouterFixture().usual();

    @Test
    void missIsFilledFromTheNearestParentWhileAllAreGood() {
        long near = host.fills(0, 200).stream()
                .filter(o -> o.source().equals("p-north"))
                .count();
        assertTrue(near > 180, "near " + near);
    }

    @Test
    void parentThatGivesNothingIsLeftAfterAFewFailures() {
        for (int i = 0; i < 8; i++) {
            String id = host.ask(i);
            if (host.last().source().equals("p-north")) {
                host.end(id, AttemptStatus.REJECTED, CacheStatus.SOURCE_UNREACHABLE, 50 * MS);
            }
            host.end(id, AttemptStatus.OK, CacheStatus.FILLED, 110 * MS);
        }
        long bad = 0;
        for (int i = 100; i < 110; i++) {
            host.ask(i);
            bad += host.last().source().equals("p-north") ? 1 : 0;
        }
        assertTrue(bad <= 1, "bad " + bad);
    }

    @Test
    void originIsNamedOnlyWhenNoParentIsReady() {
        host.fills(0, 100).forEach(o -> assertNotEquals("origin", o.source()));
        host.change(
                new EndpointInfo("p-north", "north", "parent", 0, EndpointState.DRAINING, 10, 0),
                new EndpointInfo("p-south", "south", "parent", 0, EndpointState.REMOVED, 10, 0));
        host.ask(1000);
        assertEquals("origin", host.last().source());
    }

    @Test
    void lostHubLeavesTheOriginAndIsNotOfferedAgainAndAgain() {
        host.change(new EndpointInfo("p-south", "south", "parent", 0, EndpointState.REMOVED, 10, 0));
        host.end(host.ask(0), AttemptStatus.REJECTED, CacheStatus.SOURCE_UNREACHABLE, 50 * MS);
        for (int i = 100; i < 110; i++) {
            host.ask(i);
            assertEquals("origin", host.last().source());
        }
    }
}
