package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.S;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
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
    void brokenSourceIsNotBlamedOnTheEdgeCache() {
        for (int i = 0; i < 6; i++) {
            host.end(host.ask(i), AttemptStatus.ERROR, CacheStatus.SOURCE_UNREACHABLE, 50 * MS);
        }
        Set<String> servers = new TreeSet<>();
        for (int i = 100; i < 130; i++) {
            host.ask(i);
            servers.add(host.last().server());
        }
        assertEquals(Set.of("a", "b", "c", "d"), servers);
        assertFalse(host.lines.stream().anyMatch(l -> l.matches("ejected: [abcd],.*")), host.lines.toString());
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

    /** A hub that fell silent was learned of by its fills' deadlines alone, seconds later. */
    @Test
    void silentHubIsPassedByOnceItsCachesHaveAnsweredMeanwhile() {
        for (int i = 0; i < 400; i++) {
            host.end(host.ask(i), AttemptStatus.OK, CacheStatus.FILLED, 110 * MS);
        }
        int toNorth = 0;
        for (int i = 1000; i < 1012; i++) {
            host.ask(i);
            toNorth += host.last().source().equals("p-north") ? 1 : 0;
            for (int j = 0; j < 8; j++) {
                host.pass(20 * MS);
                host.end(host.ask(j), AttemptStatus.OK, CacheStatus.HIT, 30 * MS);
            }
        }
        assertTrue(toNorth >= 3 && toNorth <= 9, "to the silent hub " + toNorth);
        assertTrue(host.lines.stream().anyMatch(l -> l.startsWith("ejected: p-north")), host.lines.toString());
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
