package petrelplank.discovery.backoff;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ReconnectBackoffTest {
    /** Connects that fail one after another, each as soon as its delay is over; the total delay. */
    private static long totalDelayUs(ReconnectBackoff backoff, int failures) {
        long now = 0;
        for (int i = 0; i < failures; i++) {
            now += backoff.nextDelayUs(now);
        }
        return now;
    }

    @Test
    void delaysDoubleWithJitterUpToTheCap() {
        ReconnectBackoff backoff = new ReconnectBackoff(7);
        long now = 0;
        long stepUs = ReconnectBackoff.INITIAL_DELAY_US;
        for (int i = 0; i < 12; i++) {
            long delayUs = backoff.nextDelayUs(now);
            assertTrue(delayUs >= stepUs / 2 && delayUs <= stepUs, i + ": " + delayUs);
            now += delayUs;
            stepUs = Math.min(ReconnectBackoff.MAX_DELAY_US, stepUs * 2);
        }
    }

    @Test
    void differentSeedsGiveDifferentDelays() {
        assertNotEquals(totalDelayUs(new ReconnectBackoff(1), 3), totalDelayUs(new ReconnectBackoff(2), 3));
        assertEquals(totalDelayUs(new ReconnectBackoff(3), 6), totalDelayUs(new ReconnectBackoff(3), 6));
    }

    @Test
    void stableStreamResetsTheBackoffAndAShortOneDoesNot() {
        ReconnectBackoff backoff = new ReconnectBackoff(5);
        totalDelayUs(backoff, 4);
        backoff.lineReceived(10_000_000, 10_000_000 - 1);
        assertEquals(4, backoff.consecutiveFailures());
        backoff.lineReceived(20_000_000, 20_000_000 - ReconnectBackoff.STABLE_AFTER_US);
        assertEquals(0, backoff.consecutiveFailures());
        assertTrue(backoff.nextDelayUs(20_000_000) <= ReconnectBackoff.INITIAL_DELAY_US);
    }

    @Test
    void repeatedFailuresEmptyTheTokenBucketAndThenConnectOnceASecond() {
        ReconnectBackoff backoff = new ReconnectBackoff(9);
        long now = 0;
        int connects = 0;
        while (now < 60_000_000) {
            long delayUs = backoff.nextDelayUs(now);
            // A stable stream that then breaks: the backoff is reset each time.
            backoff.lineReceived(now + delayUs, now + delayUs - ReconnectBackoff.STABLE_AFTER_US);
            now += delayUs;
            connects++;
        }
        assertTrue(
                connects <= ReconnectBackoff.BURST + 60 * 1_000_000 / ReconnectBackoff.TOKEN_INTERVAL_US + 1,
                "" + connects);
        assertTrue(backoff.delaysByBudget() > 0);
    }
}
