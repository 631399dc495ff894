package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static petrelplank.routing.RouterFixture.MS;

import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Whose fault a failure is. */
class FailureAttributionTest {
    private final RouterFixture host = new RouterFixture().usual();

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
}
