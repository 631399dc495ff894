package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.SEC;

import org.junit.jupiter.api.Test;

/** Hedged requests, and retries of unresponsive attempts. */
class UnresponsiveAttemptDetectorTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    @Test
    void unresponsiveAttemptIsCancelledAndRetriedIfHedgingIsNotAllowed() {
        host.requestAndFill(0, 100);
        String id = host.request(1000);
        host.advance(500 * MS);
        assertEquals(2, host.attemptCount(id));
        assertTrue(host.actions.contains("cancel " + id + " 0"));
        host.router.attemptEnded(
                host.now,
                new AttemptOutcome(id, 0, AttemptStatus.CANCELLED, 500 * MS, false, CacheStatus.NONE, 0, null, 0));
        host.endAttempt(id, AttemptStatus.OK, CacheStatus.HIT, 110 * MS);
        host.advance(4 * SEC);
        assertEquals(2, host.attemptCount(id));
        assertFalse(host.isRejectedOrFailed(id));
    }

    @Test
    void unresponsiveAttemptIsHedgedIfAllowedAndTheLoserIsCancelled() {
        RouterFixture hedgingHost = new RouterFixture(RouterFixture.settings(
                        WeightMeaning.NOMINAL,
                        CacheStatusDetail.ALL,
                        new RoutingPermissions(
                                8, true, true, false, false, true, SEC, true, true, SiblingFillPolicy.ANY)))
                .withUsualEndpoints();
        hedgingHost.requestAndFill(0, 100);
        String id = hedgingHost.request(1000);
        hedgingHost.advance(500 * MS);
        assertEquals(2, hedgingHost.attemptCount(id));
        assertFalse(hedgingHost.actions.contains("cancel " + id + " 0"));
        hedgingHost.endAttempt(id, AttemptStatus.OK, CacheStatus.HIT, 110 * MS);
        assertTrue(hedgingHost.actions.contains("cancel " + id + " 0"));
    }

    @Test
    void writeWithAKeyIsNotHedged() {
        host.requestAndFill(0, 100);
        String id = host.request("note", 1, 0, 3 * SEC);
        host.advance(2900 * MS);
        assertEquals(1, host.attemptCount(id));
    }

    @Test
    void lateResponsesUnderOverloadAreNotHedged() {
        for (int i = 0; i < 200; i++) {
            String id = host.request(i);
            if (host.attemptCount(id) > 0) {
                host.advance(1900 * MS);
                host.router.attemptEnded(
                        host.now,
                        new AttemptOutcome(
                                id,
                                host.attemptCount(id) - 1,
                                AttemptStatus.OK,
                                1900 * MS,
                                true,
                                CacheStatus.HIT,
                                0,
                                null,
                                0));
            }
        }
        String id = host.request(1000);
        host.advance(1500 * MS);
        assertEquals(1, host.attemptCount(id));
    }

    /** Guards against an unresponsive parent that is detected only at the deadlines of its fills, seconds later. */
    @Test
    void unresponsiveParentIsAvoidedOnceItsCachesHaveAnsweredOtherRequests() {
        for (int i = 0; i < 400; i++) {
            host.endAttempt(host.request(i), AttemptStatus.OK, CacheStatus.FILLED, 110 * MS);
        }
        int fillsFromNorth = 0;
        for (int i = 1000; i < 1012; i++) {
            host.request(i);
            fillsFromNorth += host.lastPlan().source().equals("p-north") ? 1 : 0;
            for (int j = 0; j < 8; j++) {
                host.advance(20 * MS);
                host.endAttempt(host.request(j), AttemptStatus.OK, CacheStatus.HIT, 30 * MS);
            }
        }
        assertTrue(
                fillsFromNorth >= 3 && fillsFromNorth <= 9,
                "expected 3 to 9 fills from the unresponsive parent p-north, found " + fillsFromNorth);
        assertTrue(
                host.logLines.stream().anyMatch(line -> line.startsWith("ejected: p-north")), host.logLines.toString());
    }
}
