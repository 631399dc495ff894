package petrelplank.discovery.backoff;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ReconnectBackoffTest {
    /** Calls one after another, each as soon as its wait is over; the total wait of n breaks. */
    private static long waited(ReconnectBackoff calls, int breaks) {
        long now = 0;
        for (int i = 0; i < breaks; i++) {
            now += calls.broken(now);
        }
        return now;
    }

    @Test
    void waitsDoubleWithJitterUpToTheCap() {
        ReconnectBackoff calls = new ReconnectBackoff(7);
        long now = 0;
        long step = ReconnectBackoff.FIRST_US;
        for (int i = 0; i < 12; i++) {
            long waitUs = calls.broken(now);
            assertTrue(waitUs >= step / 2 && waitUs <= step, i + ": " + waitUs);
            now += waitUs;
            step = Math.min(ReconnectBackoff.CAP_US, step * 2);
        }
    }

    @Test
    void frontsStartedTogetherCallAtDifferentTimes() {
        assertNotEquals(waited(new ReconnectBackoff(1), 3), waited(new ReconnectBackoff(2), 3));
        assertEquals(waited(new ReconnectBackoff(3), 6), waited(new ReconnectBackoff(3), 6));
    }

    @Test
    void aStreamThatStoodEndsTheRowAndOneThatBreaksAtOnceDoesNot() {
        ReconnectBackoff calls = new ReconnectBackoff(5);
        waited(calls, 4);
        calls.heard(10_000_000, 10_000_000 - 1);
        assertEquals(4, calls.inRow());
        calls.heard(20_000_000, 20_000_000 - ReconnectBackoff.STOOD_US);
        assertEquals(0, calls.inRow());
        assertTrue(calls.broken(20_000_000) <= ReconnectBackoff.FIRST_US);
    }

    @Test
    void breaksAtOnceSpendTheBudgetAndThenComeOnceASecond() {
        ReconnectBackoff calls = new ReconnectBackoff(9);
        long now = 0;
        int calledIn60s = 0;
        while (now < 60_000_000) {
            long waitUs = calls.broken(now);
            calls.heard(
                    now + waitUs, now + waitUs - ReconnectBackoff.STOOD_US); // spoke and broke: the row ends each time
            now += waitUs;
            calledIn60s++;
        }
        assertTrue(
                calledIn60s <= ReconnectBackoff.BURST + 60 * 1_000_000 / ReconnectBackoff.REFILL_US + 1,
                "" + calledIn60s);
        assertTrue(calls.held() > 0);
    }
}
