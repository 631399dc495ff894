package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.S;

import org.junit.jupiter.api.Test;

/** Retries, hedged requests and final answers. */
class SilenceMonitorTest {
    private final RouterFixture host = new RouterFixture().usual();

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

    /** A hub that fell silent was learned of by its fills' deadlines alone, seconds later. */
    @Test
    void silentHubIsPassedByOnceItsCachesHaveAnsweredMeanwhile() {
        for (int i = 0; i < 400; i++) {
            host.end(host.ask(i), AttemptStatus.OK, CacheStatus.FILLED, 110 * MS);
        }
        int toNorth = 0;
        for (int i = 1000; i < 1012; i++) {
            host.ask(i);
            toNorth += host.last().source().equals("p-north") ? 1 : 0;
            for (int j = 0; j < 8; j++) {
                host.pass(20 * MS);
                host.end(host.ask(j), AttemptStatus.OK, CacheStatus.HIT, 30 * MS);
            }
        }
        assertTrue(toNorth >= 3 && toNorth <= 9, "to the silent hub " + toNorth);
        assertTrue(host.lines.stream().anyMatch(l -> l.startsWith("ejected: p-north")), host.lines.toString());
    }
}
