package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.S;

import org.junit.jupiter.api.Test;

/** When attempts without a response are checked. */
class HedgingPolicyTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    /** Guards against a write later than its objective that sets timers in the past and blocks the event thread. */
    @Test
    void lateWriteSetsNoTimerInThePast() {
        host.request("note", 5, 0, 3 * S);
        for (int i = 0; i < 40; i++) {
            host.advance(50 * MS);
            long now = host.now;
            assertTrue(host.timers.values().stream().allMatch(at -> at > now), host.timers.toString());
        }
    }
}
