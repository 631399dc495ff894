package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.S;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the detection of parents with a low transfer rate. */
class SlowSourceDetectorTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    @Test
    void parentWithASlowLinkIsAvoidedThoughItsFirstByteIsQuick() {
        int slow = 0;
        for (int i = 0; i < 60; i++) {
            String id = host.request(i);
            boolean north = host.lastPlan().source().equals("p-north");
            slow += north ? 1 : 0;
            host.endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED, north ? 500 * MS : 120 * MS);
        }
        assertTrue(slow < 40, "fills from the slow parent: " + slow + " of 60, expected less than 40");
    }

    /** Guards against the ejection of healthy parents, which would overload the remaining ones. */
    @Test
    void largeObjectsOfUnknownSizeDoNotMakeAParentSlow() {
        int near = 0;
        for (int i = 0; i < 60; i++) {
            String id = host.request("video", i, 0, 4 * S, 0);
            near += host.lastPlan().source().equals("p-north") ? 1 : 0;
            host.endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED, 500 * MS);
        }
        assertTrue(near > 50, "fills from the nearest parent: " + near + " of 60, expected more than 50");
        assertEquals(List.of(), host.logLines);
    }

    /**
     * A parent with a congested link sends at a twentieth of its usual rate, although first bytes arrive at once. Sizes
     * are known from responses only.
     */
    @Test
    void slowParentIsAvoidedWhereOnlyResponsesTellSizes() {
        int slow = 0;
        for (int i = 0; i < 60; i++) {
            String id = host.request("video", i, 0, 4 * S, 0);
            boolean north = host.lastPlan().source().equals("p-north");
            slow += north ? 1 : 0;
            host.endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED, north ? 600 * MS : 120 * MS, null, 800);
        }
        assertTrue(slow < 40, "fills from the slow parent: " + slow + " of 60, expected less than 40");
        int near = 0;
        RouterFixture large = new RouterFixture().withUsualEndpoints();
        for (int i = 0; i < 60; i++) {
            String id = large.request("video", i, 0, 4 * S, 0);
            near += large.lastPlan().source().equals("p-north") ? 1 : 0;
            large.endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED, 600 * MS, null, 4000);
        }
        assertTrue(near > 50, "fills from the nearest parent: " + near + " of 60, expected more than 50");
    }
}
