package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.S;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Retries and idempotency. */
class RetryPolicyTest {
    private final RouterFixture host = new RouterFixture().usual();

    @Test
    void keyedWriteThatMayHaveRunIsNotSentAgainAfterItsWindow() {
        String id = host.ask("note", 1, 0, 5 * S);
        assertEquals("origin", host.last().server());
        host.end(id, AttemptStatus.TIMEOUT, CacheStatus.NONE, 600 * MS);
        assertEquals(2, host.attempts(id));
        host.end(id, AttemptStatus.TIMEOUT, CacheStatus.NONE, 2500 * MS);
        assertEquals(2, host.attempts(id));
        assertEquals(List.of(id), host.failed);
    }
}
