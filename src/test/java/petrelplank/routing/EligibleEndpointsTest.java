package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which endpoints are offered while many of them fail. */
class EligibleEndpointsTest {
    private final RouterFixture host = new RouterFixture().usual();

    /** A branch that lost all its caches asked one dead machine after the other, and refused for seconds. */
    @Test
    void branchWhoseCachesAreNotReachedAsksTheHubsStraightAndTriesTheCachesNowAndThen() {
        Set<String> caches = Set.of("a", "b", "c", "d");
        int direct = 0;
        int tried = 0;
        for (int i = 0; i < 60; i++) {
            String id = host.ask(i);
            while (caches.contains(host.last().server()) && !host.answered(id)) {
                tried++;
                host.end(id, AttemptStatus.CONNECT_FAILED, CacheStatus.NONE, 0);
            }
            assertFalse(host.answered(id), id);
            direct++;
            host.end(id, AttemptStatus.OK, CacheStatus.FILLED, 10 * MS);
        }
        assertEquals(60, direct);
        assertTrue(tried >= 4 && tried <= 8, "tried " + tried);
    }
}
