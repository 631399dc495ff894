package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.S;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Parents that send slowly. */
class SlowSourceDetectorTest {
    private final RouterFixture host = new RouterFixture().usual();

    @Test
    void parentWithASlowLinkIsLeftThoughItsFirstByteIsQuick() {
        int slow = 0;
        for (int i = 0; i < 60; i++) {
            String id = host.ask(i);
            boolean north = host.last().source().equals("p-north");
            slow += north ? 1 : 0;
            host.end(id, AttemptStatus.OK, CacheStatus.FILLED, north ? 500 * MS : 120 * MS);
        }
        assertTrue(slow < 40, "slow " + slow);
    }

    /** Healthy parents were ejected for it on calm days, and the rest crowded. */
    @Test
    void largeObjectsOfUntoldSizeAreNoReasonToLeaveAParent() {
        int near = 0;
        for (int i = 0; i < 60; i++) {
            String id = host.ask("video", i, 0, 4 * S, 0);
            near += host.last().source().equals("p-north") ? 1 : 0;
            host.end(id, AttemptStatus.OK, CacheStatus.FILLED, 500 * MS);
        }
        assertTrue(near > 50, "near " + near);
        assertEquals(List.of(), host.lines);
    }

    /** A hub whose link was full sent at a twentieth of its pace for 2 s; first bytes came at once, sizes with them. */
    @Test
    void hubThatSendsSlowlyIsLeftWhereOnlyItsAnswersTellSizes() {
        int slow = 0;
        for (int i = 0; i < 60; i++) {
            String id = host.ask("video", i, 0, 4 * S, 0);
            boolean north = host.last().source().equals("p-north");
            slow += north ? 1 : 0;
            host.end(id, AttemptStatus.OK, CacheStatus.FILLED, north ? 600 * MS : 120 * MS, null, 800);
        }
        assertTrue(slow < 40, "slow " + slow);
        int near = 0;
        RouterFixture large = new RouterFixture().usual();
        for (int i = 0; i < 60; i++) {
            String id = large.ask("video", i, 0, 4 * S, 0);
            near += large.last().source().equals("p-north") ? 1 : 0;
            large.end(id, AttemptStatus.OK, CacheStatus.FILLED, 600 * MS, null, 4000);
        }
        assertTrue(near > 50, "near " + near);
    }
}
