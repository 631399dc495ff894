package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static petrelplank.routing.RouterFixture.MS;

import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Tests to which endpoint a failure is attributed. */
class FailureAttributionTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    @Test
    void unreachableSourceIsNotTheCachesFault() {
        for (int i = 0; i < 6; i++) {
            host.endAttempt(host.request(i), AttemptStatus.ERROR, CacheStatus.SOURCE_UNREACHABLE, 50 * MS);
        }
        Set<String> servers = new TreeSet<>();
        for (int i = 100; i < 130; i++) {
            host.request(i);
            servers.add(host.lastPlan().server());
        }
        assertEquals(Set.of("a", "b", "c", "d"), servers);
        assertFalse(
                host.logLines.stream().anyMatch(line -> line.matches("ejected: [abcd],.*")), host.logLines.toString());
    }
}
