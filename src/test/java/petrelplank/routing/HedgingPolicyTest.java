package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.SEC;

import org.junit.jupiter.api.Test;

/** Timers that check attempts without a response. */
class HedgingPolicyTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    /** Guards against a write past its latency objective that sets timers in the past, which block the event thread. */
    @Test
    void lateWriteSetsNoTimerInThePast() {
        host.request("note", 5, 0, 3 * SEC);
        for (int i = 0; i < 40; i++) {
            host.advance(50 * MS);
            long now = host.now;
            assertTrue(host.timers.values().stream().allMatch(at -> at > now), host.timers.toString());
        }
    }
}
