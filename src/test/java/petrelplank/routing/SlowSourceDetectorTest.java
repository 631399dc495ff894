package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.S;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Parents that send slowly. */
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
        assertTrue(slow < 40, "slow " + slow);
    }

    /** Guards against the ejection of healthy parents, which overloads the rest. */
    @Test
    void largeObjectsOfUnknownSizeDoNotMakeAParentSlow() {
        int near = 0;
        for (int i = 0; i < 60; i++) {
            String id = host.request("video", i, 0, 4 * S, 0);
            near += host.lastPlan().source().equals("p-north") ? 1 : 0;
            host.endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED, 500 * MS);
        }
        assertTrue(near > 50, "near " + near);
        assertEquals(List.of(), host.logLines);
    }

    /**
     * A parent with a full link sends at a twentieth of its pace; first bytes come at once, and responses tell sizes.
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
        assertTrue(slow < 40, "slow " + slow);
        int near = 0;
        RouterFixture large = new RouterFixture().withUsualEndpoints();
        for (int i = 0; i < 60; i++) {
            String id = large.request("video", i, 0, 4 * S, 0);
            near += large.lastPlan().source().equals("p-north") ? 1 : 0;
            large.endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED, 600 * MS, null, 4000);
        }
        assertTrue(near > 50, "near " + near);
    }
}
