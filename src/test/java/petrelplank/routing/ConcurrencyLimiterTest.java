package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.S;

import java.util.List;
import org.junit.jupiter.api.Test;

/** How much is let out at once. */
class ConcurrencyLimiterTest {
    private final RouterFixture host = new RouterFixture().usual();

    @Test
    void overloadIsShedAtOnceAndAnswersInTimeLetMoreOutAgain() {
        for (int i = 0; i < 400; i++) {
            host.ask(i);
        }
        assertTrue(host.refused.size() > 200, "refused " + host.refused.size());
        assertEquals(S, host.retryAfter.get(0));
        assertEquals(400, host.sent.size() + host.refused.size());
    }

    @Test
    void brokenConnectionsDoNotShrinkWhatIsLetOut() {
        for (int i = 0; i < 60; i++) {
            String id = host.ask(i);
            host.end(id, AttemptStatus.RESET, CacheStatus.SOURCE_UNREACHABLE, 50 * MS);
            if (!host.answered(id)) {
                host.end(id, AttemptStatus.OK, CacheStatus.FILLED, 110 * MS);
            }
        }
        int before = host.refused.size();
        for (int i = 100; i < 120; i++) {
            host.ask(i);
        }
        assertEquals(before, host.refused.size());
    }

    @Test
    void lateAnswersShrinkWhatIsLetOut() {
        for (int i = 0; i < 30; i++) {
            host.end(host.ask(i), AttemptStatus.OK, CacheStatus.FILLED, 2 * S);
        }
        for (int i = 100; i < 120; i++) {
            host.ask(i);
        }
        long looks = host.sent.stream()
                .filter(s -> s.order().server().equals(s.order().source()))
                .count();
        assertTrue(looks >= 15, "looks " + looks);
    }

    /** Sizes are not told: large objects are late by the class's mean, and on a calm day that shed a third. */
    @Test
    void lateAnswersShrinkNothingWhileReportsShowRoom() {
        assertTrue(looksAfterLateFills(1.2) < 5);
        assertTrue(looksAfterLateFills(1.8) >= 15);
    }

    @Test
    void overloadShedsLargePartsFirst() {
        host.fills(0, 100);
        int large = 0;
        int usual = 0;
        for (int i = 1000; i < 1400; i++) {
            String id = "x" + i;
            boolean big = i % 2 == 0;
            host.router.requestReceived(
                    host.now,
                    new RoutingRequest(id, i, 0, 0, "video", host.now + 4 * S, big ? 1600 : 800, false, false, null));
            large += big && host.refused.contains(id) ? 1 : 0;
            usual += !big && host.refused.contains(id) ? 1 : 0;
        }
        assertTrue(200 - usual > 1.3 * (200 - large), large + " large, " + usual + " usual refused");
    }

    @Test
    void lostAnswersAreNotTakenForLoad() {
        host.fills(0, 100);
        for (int i = 0; i < 60; i++) {
            String id = host.ask(1000 + i);
            host.pass(500 * MS);
            host.end(id, AttemptStatus.OK, CacheStatus.HIT, 110 * MS);
            host.fills(2000 + 10 * i, 2010 + 10 * i);
        }
        host.refused.clear();
        for (int i = 0; i < 10; i++) {
            host.ask(9000 + i);
        }
        assertTrue(host.refused.isEmpty(), host.refused.toString());
    }

    @Test
    void manyGatewaysOfALocationShareItsLimits() {
        RouterFixture many = new RouterFixture(RouterFixture.settings(
                        WeightMeaning.NOMINAL, CacheStatusDetail.ALL, RouterFixture.permissions(), 40))
                .usual();
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            sent += many.attempts(many.ask(i)) > 0 ? 1 : 0;
        }
        assertTrue(sent > 0 && sent * 40 < 1000, "each of 40 lets out " + sent);
    }

    @Test
    void locationWithoutGatewayCountsStillDecides() {
        RouterFixture none = new RouterFixture(RouterFixture.settings(
                        WeightMeaning.NOMINAL, CacheStatusDetail.ALL, RouterFixture.permissions(), 0))
                .usual();
        assertEquals(1, none.attempts(none.ask(1)));
    }

    /** Six fronts of a branch had five fills each, and refused a third while the branch's link was half empty. */
    @Test
    void fillsGoOnWhileTheLinkIsReportedToHaveRoom() {
        assertEquals(0, looksOfABurst(0.5));
        assertTrue(looksOfABurst(1.2) > 10);
    }

    /** What came late for its class came in time for its size: an aim grows with the sending time. */
    @Test
    void largeAnswersThatCameInTimeForTheirSizeShrinkNothing() {
        assertTrue(looksAfterFillsOf(800) >= 15);
        assertTrue(looksAfterFillsOf(8000) < 5);
    }

    private static long looksAfterLateFills(double linkUse) {
        RouterFixture told = new RouterFixture(RouterFixture.settings(
                        WeightMeaning.ROUGH,
                        CacheStatusDetail.ALL,
                        RouterFixture.permissions(),
                        2,
                        List.of("concurrent", "x0", "x1")))
                .usual();
        for (int i = 0; i < 30; i++) {
            told.end(told.ask(i), AttemptStatus.OK, CacheStatus.FILLED, 2 * S, new double[] {1, 0.5, linkUse});
        }
        for (int i = 100; i < 120; i++) {
            told.ask(i);
        }
        return told.sent.stream()
                .filter(s -> s.order().server().equals(s.order().source()))
                .count();
    }

    private static long looksOfABurst(double linkUse) {
        RouterFixture told = reporting();
        told.end(told.ask(1), AttemptStatus.OK, CacheStatus.HIT, 100 * MS, new double[] {1, 0.5, linkUse});
        int before = told.sent.size();
        for (int i = 10; i < 30; i++) {
            told.ask(i);
        }
        return told.sent.subList(before, told.sent.size()).stream()
                .filter(s -> s.order().server().equals(s.order().source()))
                .count();
    }

    private static long looksAfterFillsOf(double sizeKb) {
        RouterFixture told = new RouterFixture().usual();
        for (int i = 0; i < 30; i++) {
            told.end(told.ask("video", i, 0, 4 * S, 0), AttemptStatus.OK, CacheStatus.FILLED, 1200 * MS, null, sizeKb);
        }
        for (int i = 100; i < 120; i++) {
            told.ask(i);
        }
        return told.sent.stream()
                .filter(s -> s.order().server().equals(s.order().source()))
                .count();
    }

    private static RouterFixture reporting() {
        return new RouterFixture(RouterFixture.settings(
                        WeightMeaning.ROUGH,
                        CacheStatusDetail.ALL,
                        RouterFixture.permissions(),
                        6,
                        List.of("concurrent", "x0", "x1")))
                .usual();
    }

    /** A limit that a jam had sunk under what its cache fits refused a tenth for ten seconds after the jam. */
    @Test
    void limitSinksNoFurtherThanWhatTheCacheFits() {
        RouterFixture told = new RouterFixture(RouterFixture.settings(
                        WeightMeaning.ROUGH,
                        CacheStatusDetail.ALL,
                        RouterFixture.permissions(),
                        2,
                        List.of("concurrent", "x0", "x1")))
                .usual();
        for (int i = 0; i < 200; i++) {
            told.end(told.ask(i), AttemptStatus.OK, CacheStatus.HIT, 2 * S, new double[] {20, 0.5, 0.5});
        }
        int before = told.sent.size();
        for (int i = 1000; i < 1100; i++) {
            told.ask(i);
        }
        assertTrue(told.sent.size() - before >= 16, "let out " + (told.sent.size() - before));
    }

    @Test
    void writesAreNotHeldBackByTheLimitOnFills() {
        for (int i = 0; i < 80; i++) {
            host.ask("note", i, 0, 3 * S);
        }
        assertEquals(80, host.sent.size());
    }
}
