package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.S;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The router as a whole: unusual input, disconnected clients and determinism. */
class RequestRouterTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    @Test
    void clockJumpOfMinutesIsSurvived() {
        host.fills(0, 50);
        String id = host.request(1);
        host.now += 600 * S;
        host.endAttempt(id, AttemptStatus.TIMEOUT, CacheStatus.NONE, MS);
        assertTrue(host.isTerminated(id));
        assertEquals(50, host.fills(100, 150).size());
    }

    @Test
    void minimalSettingsAreRouted() {
        RouterFixture bare = new RouterFixture(new RouterSettings(
                0,
                1,
                "z",
                List.of("z"),
                null,
                null,
                null,
                null,
                null,
                0,
                WeightMeaning.NONE,
                CacheStatusDetail.NONE,
                null,
                false,
                0,
                List.of(RouterFixture.VIDEO),
                new RoutingPermissions(2, false, false, false, false, false, 0, false, false, SiblingFillPolicy.NONE),
                new PlatformRules(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0),
                null,
                0));
        bare.router.endpointsChanged(
                bare.now,
                true,
                List.of(
                        new EndpointInfo("a", "z", "box", 0, EndpointState.UP, 0, 0),
                        new EndpointInfo("a", "z", "box", 0, EndpointState.UP, 0, 0)));
        String id = bare.request(1);
        assertEquals("a", bare.lastPlan().server());
        bare.endAttempt(id, AttemptStatus.OK, CacheStatus.NONE, 100 * MS);
        assertFalse(bare.isTerminated(id));
    }

    @Test
    void lateEventsAreIgnored() {
        String id = host.request(1);
        host.endAttempt(id, AttemptStatus.OK, CacheStatus.HIT, 110 * MS);
        int before = host.actions.size();
        host.endAttempt(id, AttemptStatus.OK, CacheStatus.HIT, 110 * MS);
        host.router.clientDisconnected(host.now, id);
        host.router.timerFired(host.now, 99);
        assertEquals(before, host.actions.size());
    }

    @Test
    void sameEventsGiveSameActions() {
        RouterFixture other = new RouterFixture().withUsualEndpoints();
        host.fills(0, 300);
        other.fills(0, 300);
        assertEquals(host.actions, other.actions);
    }

    @Test
    void strayGossipReportsAndHealthChecksChangeNothing() {
        RouterFixture plain = new RouterFixture().withUsualEndpoints();
        host.router.gossipReceived(host.now, 77, new byte[] {1, 2});
        host.router.gossipReceived(host.now, -1, new byte[300]);
        host.router.healthChecked(host.now, "nobody", AttemptStatus.OK, 5, new double[] {Double.NaN, 1e9});
        String id = host.request(1);
        plain.request(1);
        host.router.attemptEnded(
                host.now,
                new AttemptOutcome(id, 5, AttemptStatus.OK, 1, false, CacheStatus.HIT, 0, new double[] {-1}, 0));
        assertEquals(plain.actions, host.actions);
    }

    @Test
    void disconnectedClientsAttemptIsCancelledAndAStartedStreamIsNot() {
        String left = host.request(1);
        host.router.clientDisconnected(host.now, left);
        assertTrue(host.actions.contains("cancel " + left + " 0"), host.actions.toString());
        String streamed = host.request(2);
        host.router.streamStarted(host.now, streamed, 0);
        assertFalse(host.actions.contains("cancel " + streamed + " 0"), host.actions.toString());
    }
}
