package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.SEC;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Retries of requests with an idempotency key. */
class RetryPolicyTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    @Test
    void writeWithAKeyIsNotRetriedAfterItsWindow() {
        String id = host.request("note", 1, 0, 5 * SEC);
        assertEquals("origin", host.lastPlan().server());
        host.endAttempt(id, AttemptStatus.TIMEOUT, CacheStatus.NONE, 600 * MS);
        assertEquals(2, host.attemptCount(id));
        host.endAttempt(id, AttemptStatus.TIMEOUT, CacheStatus.NONE, 2500 * MS);
        assertEquals(2, host.attemptCount(id));
        assertEquals(List.of(id), host.failed);
    }
}
