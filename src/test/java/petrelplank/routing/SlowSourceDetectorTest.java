package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.SEC;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the detection of parents with a low transfer rate. */
class SlowSourceDetectorTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    @Test
    void parentWithASlowLinkIsAvoidedThoughItsFirstByteIsQuick() {
        int fillsFromSlowParent = 0;
        for (int i = 0; i < 60; i++) {
            String id = host.request(i);
            boolean fromSlowParent = host.lastPlan().source().equals("p-north");
            fillsFromSlowParent += fromSlowParent ? 1 : 0;
            host.endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED, fromSlowParent ? 500 * MS : 120 * MS);
        }
        assertTrue(
                fillsFromSlowParent < 40,
                "fills from the slow parent: " + fillsFromSlowParent + " of 60, expected less than 40");
    }

    /** Guards against the ejection of healthy parents, which would overload the remaining ones. */
    @Test
    void largeObjectsOfUnknownSizeDoNotMakeAParentSlow() {
        int fillsFromNearest = 0;
        for (int i = 0; i < 60; i++) {
            String id = host.request("video", i, 0, 4 * SEC, 0);
            fillsFromNearest += host.lastPlan().source().equals("p-north") ? 1 : 0;
            host.endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED, 500 * MS);
        }
        assertTrue(
                fillsFromNearest > 50,
                "fills from the nearest parent: " + fillsFromNearest + " of 60, expected more than 50");
        assertEquals(List.of(), host.logLines);
    }

    /**
     * A parent with a congested link sends at a twentieth of its usual rate, although first bytes arrive at once. Sizes
     * are known from responses only.
     */
    @Test
    void slowParentIsAvoidedWhereOnlyResponsesTellSizes() {
        int fillsFromSlowParent = 0;
        for (int i = 0; i < 60; i++) {
            String id = host.request("video", i, 0, 4 * SEC, 0);
            boolean fromSlowParent = host.lastPlan().source().equals("p-north");
            fillsFromSlowParent += fromSlowParent ? 1 : 0;
            host.endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED, fromSlowParent ? 600 * MS : 120 * MS, null, 800);
        }
        assertTrue(
                fillsFromSlowParent < 40,
                "fills from the slow parent: " + fillsFromSlowParent + " of 60, expected less than 40");
        int fillsFromNearest = 0;
        RouterFixture hostWithLargeObjects = new RouterFixture().withUsualEndpoints();
        for (int i = 0; i < 60; i++) {
            String id = hostWithLargeObjects.request("video", i, 0, 4 * SEC, 0);
            fillsFromNearest += hostWithLargeObjects.lastPlan().source().equals("p-north") ? 1 : 0;
            hostWithLargeObjects.endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED, 600 * MS, null, 4000);
        }
        assertTrue(
                fillsFromNearest > 50,
                "fills from the nearest parent: " + fillsFromNearest + " of 60, expected more than 50");
    }
}
