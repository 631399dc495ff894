package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.SEC;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The router as a whole: unusual input, disconnected clients and determinism. */
class RequestRouterTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    @Test
    void requestsAreRoutedAfterAClockJumpOfMinutes() {
        host.requestAndFill(0, 50);
        String id = host.request(1);
        host.now += 600 * SEC;
        host.endAttempt(id, AttemptStatus.TIMEOUT, CacheStatus.NONE, MS);
        assertTrue(host.isRejectedOrFailed(id));
        assertEquals(50, host.requestAndFill(100, 150).size());
    }

    @Test
    void requestsAreRoutedWithMinimalSettings() {
        RouterFixture minimal = new RouterFixture(new RouterSettings(
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
        minimal.router.endpointsChanged(
                minimal.now,
                true,
                List.of(
                        new EndpointInfo("a", "z", "box", 0, EndpointState.UP, 0, 0),
                        new EndpointInfo("a", "z", "box", 0, EndpointState.UP, 0, 0)));
        String id = minimal.request(1);
        assertEquals("a", minimal.lastPlan().server());
        minimal.endAttempt(id, AttemptStatus.OK, CacheStatus.NONE, 100 * MS);
        assertFalse(minimal.isRejectedOrFailed(id));
    }

    @Test
    void eventsAfterTheFinalAnswerAreIgnored() {
        String id = host.request(1);
        host.endAttempt(id, AttemptStatus.OK, CacheStatus.HIT, 110 * MS);
        int actionsBefore = host.actions.size();
        host.endAttempt(id, AttemptStatus.OK, CacheStatus.HIT, 110 * MS);
        host.router.clientDisconnected(host.now, id);
        host.router.timerFired(host.now, 99);
        assertEquals(actionsBefore, host.actions.size());
    }

    @Test
    void sameEventsGiveSameActions() {
        RouterFixture other = new RouterFixture().withUsualEndpoints();
        host.requestAndFill(0, 300);
        other.requestAndFill(0, 300);
        assertEquals(host.actions, other.actions);
    }

    @Test
    void strayGossipReportsAndHealthChecksChangeNothing() {
        RouterFixture undisturbed = new RouterFixture().withUsualEndpoints();
        host.router.gossipReceived(host.now, 77, new byte[] {1, 2});
        host.router.gossipReceived(host.now, -1, new byte[300]);
        host.router.healthChecked(host.now, "unknown", AttemptStatus.OK, 5, new double[] {Double.NaN, 1e9});
        String id = host.request(1);
        undisturbed.request(1);
        host.router.attemptEnded(
                host.now,
                new AttemptOutcome(id, 5, AttemptStatus.OK, 1, false, CacheStatus.HIT, 0, new double[] {-1}, 0));
        assertEquals(undisturbed.actions, host.actions);
    }

    @Test
    void disconnectedClientsAttemptIsCancelledAndAStartedStreamIsNot() {
        String disconnected = host.request(1);
        host.router.clientDisconnected(host.now, disconnected);
        assertTrue(host.actions.contains("cancel " + disconnected + " 0"), host.actions.toString());
        String streamed = host.request(2);
        host.router.streamStarted(host.now, streamed, 0);
        assertFalse(host.actions.contains("cancel " + streamed + " 0"), host.actions.toString());
    }
}
