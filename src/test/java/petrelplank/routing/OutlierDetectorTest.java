package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.S;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Which servers are offered: lists, ejection and return. */
class OutlierDetectorTest {
    private final RouterFixture host = new RouterFixture().usual();

    @Test
    void deadCacheIsLeftAtOnceAndTriedAgainAfterAPause() {
        String id = host.ask(1);
        String dead = host.last().server();
        host.end(id, AttemptStatus.CONNECT_FAILED, CacheStatus.NONE, MS);
        assertEquals(2, host.attempts(id));
        assertNotEquals(dead, host.last().server());
        host.end(id, AttemptStatus.OK, CacheStatus.FILLED, 110 * MS);
        for (int i = 100; i < 130; i++) {
            host.ask(i);
            assertNotEquals(dead, host.last().server());
        }
        host.now += 2 * S;
        int trials = 0;
        for (int i = 200; i < 230; i++) {
            host.ask(i);
            trials += host.last().server().equals(dead) ? 1 : 0;
        }
        assertEquals(1, trials);
    }

    /** One spoilt answer or reset ends all that is out on a connection, and is no sign of a sick cache. */
    @Test
    void attemptsResetTogetherAreOneFailure() {
        for (int i = 0; i < 10; i++) {
            host.ask(1);
        }
        String cache = host.last().server();
        host.now += 50 * MS;
        for (int i = 0; i < 10; i++) {
            host.router.attemptEnded(
                    host.now,
                    new AttemptOutcome("r" + i, 0, AttemptStatus.RESET, 50 * MS, false, CacheStatus.NONE, 0, null, 0));
        }
        assertEquals(List.of(), host.lines);
        for (int i = 0; i < 2; i++) {
            host.now += 50 * MS;
            String id = host.ask(1);
            assertEquals(cache, host.last().server());
            host.end(id, AttemptStatus.RESET, CacheStatus.NONE, 50 * MS);
        }
        assertEquals(1, host.lines.size(), host.lines.toString());
    }

    /** Bad clients ask for what no server can use, at full speed. */
    @Test
    void requestThatAllServersAnswerWithAnErrorIsGivenUpAndLeavesNoneOut() {
        for (int i = 0; i < 8; i++) {
            String id = host.ask(i);
            for (int j = 0; j < 3; j++) {
                host.end(id, AttemptStatus.ERROR, CacheStatus.NONE, MS);
            }
            assertTrue(host.answered(id));
            assertEquals(3, host.attempts(id));
        }
        assertEquals(List.of(), host.lines);
        Set<String> servers = new TreeSet<>();
        host.fills(100, 200).forEach(o -> servers.add(o.server()));
        assertEquals(Set.of("a", "b", "c", "d"), servers);
    }

    /** A full table of connections refuses new ones, while the cache answers on those it has. */
    @Test
    void refusedConnectionIsNoProofAgainstACacheThatAnswers() {
        for (int i = 0; i < 20; i++) {
            host.end(host.ask(i), AttemptStatus.OK, CacheStatus.HIT, 20 * MS);
        }
        String id = host.ask(7);
        String full = host.last().server();
        host.end(id, AttemptStatus.CONNECT_FAILED, CacheStatus.NONE, 0);
        host.end(id, AttemptStatus.OK, CacheStatus.FILLED, 20 * MS);
        host.end(host.ask(7), AttemptStatus.OK, CacheStatus.HIT, 20 * MS);
        assertEquals(full, host.last().server());
        assertEquals(List.of(), host.lines);
    }
}
