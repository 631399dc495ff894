package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.S;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Retries, hedged requests and final answers. */
class SilenceMonitorTest {
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

    @Test
    void clientThatLeftHasItsAttemptCalledOffAndAStreamDoesNot() {
        String left = host.ask(1);
        host.router.clientDisconnected(host.now, left);
        assertTrue(host.all.contains("cancel " + left + " 0"), host.all.toString());
        String streamed = host.ask(2);
        host.router.streamStarted(host.now, streamed, 0);
        assertFalse(host.all.contains("cancel " + streamed + " 0"), host.all.toString());
    }

    /** A write late by its aim once set a timer in the past, over and over, until the event thread stood still. */
    @Test
    void lateWriteSetsNoTimerInThePast() {
        host.ask("note", 5, 0, 3 * S);
        for (int i = 0; i < 40; i++) {
            host.pass(50 * MS);
            long now = host.now;
            assertTrue(host.timers.values().stream().allMatch(at -> at > now), host.timers.toString());
        }
    }

    @Test
    void answerThatNeverComesIsAskedForAgainFirstCutWhereNoSecondCopyMayRun() {
        host.fills(0, 100);
        String id = host.ask(1000);
        host.pass(500 * MS);
        assertEquals(2, host.attempts(id));
        assertTrue(host.all.contains("cancel " + id + " 0"));
        host.router.attemptEnded(
                host.now,
                new AttemptOutcome(id, 0, AttemptStatus.CANCELLED, 500 * MS, false, CacheStatus.NONE, 0, null, 0));
        host.end(id, AttemptStatus.OK, CacheStatus.HIT, 110 * MS);
        host.pass(4 * S);
        assertEquals(2, host.attempts(id));
        assertFalse(host.answered(id));
    }

    @Test
    void answerThatNeverComesIsAskedForTwiceWhereSecondCopiesAreAllowedAndTheLoserIsCalledOff() {
        RouterFixture two = new RouterFixture(RouterFixture.settings(
                        WeightMeaning.NOMINAL,
                        CacheStatusDetail.ALL,
                        new RoutingPermissions(
                                8, true, true, false, false, true, S, true, true, SiblingFillPolicy.ANY)))
                .usual();
        two.fills(0, 100);
        String id = two.ask(1000);
        two.pass(500 * MS);
        assertEquals(2, two.attempts(id));
        assertFalse(two.all.contains("cancel " + id + " 0"));
        two.end(id, AttemptStatus.OK, CacheStatus.HIT, 110 * MS);
        assertTrue(two.all.contains("cancel " + id + " 0"));
    }

    @Test
    void keyedWriteIsNotSentASecondTimeForSilence() {
        host.fills(0, 100);
        String id = host.ask("note", 1, 0, 3 * S);
        host.pass(2900 * MS);
        assertEquals(1, host.attempts(id));
    }

    @Test
    void lateAnswersInAJamAreWaitedForAndNotDoubled() {
        for (int i = 0; i < 200; i++) {
            String id = host.ask(i);
            if (host.attempts(id) > 0) {
                host.pass(1900 * MS);
                host.router.attemptEnded(
                        host.now,
                        new AttemptOutcome(
                                id,
                                host.attempts(id) - 1,
                                AttemptStatus.OK,
                                1900 * MS,
                                true,
                                CacheStatus.HIT,
                                0,
                                null,
                                0));
            }
        }
        String id = host.ask(1000);
        host.pass(1500 * MS);
        assertEquals(1, host.attempts(id));
    }
}
