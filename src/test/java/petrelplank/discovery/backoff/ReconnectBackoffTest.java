package petrelplank.discovery.backoff;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ReconnectBackoffTest {
    /** Total delay after consecutive failures, if each attempt is made when its delay is over and fails at once. */
    private static long totalDelayUs(ReconnectBackoff backoff, int failures) {
        long nowUs = 0;
        for (int i = 0; i < failures; i++) {
            nowUs += backoff.nextDelayUs(nowUs);
        }
        return nowUs;
    }

    @Test
    void delaysDoubleWithJitterUpToTheMaximum() {
        ReconnectBackoff backoff = new ReconnectBackoff(7);
        long nowUs = 0;
        long backoffUs = ReconnectBackoff.INITIAL_DELAY_US;
        for (int i = 0; i < 12; i++) {
            long delayUs = backoff.nextDelayUs(nowUs);
            assertTrue(delayUs >= backoffUs / 2 && delayUs <= backoffUs, "delay " + i + ": " + delayUs + " us");
            nowUs += delayUs;
            backoffUs = Math.min(ReconnectBackoff.MAX_DELAY_US, backoffUs * 2);
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
        backoff.onLineReceived(10_000_000, 10_000_000 - 1);
        assertEquals(4, backoff.consecutiveFailures());
        backoff.onLineReceived(20_000_000, 20_000_000 - ReconnectBackoff.STABLE_AFTER_US);
        assertEquals(0, backoff.consecutiveFailures());
        assertTrue(backoff.nextDelayUs(20_000_000) <= ReconnectBackoff.INITIAL_DELAY_US);
    }

    @Test
    void repeatedFailuresEmptyTheTokenBucketAndThenAttemptsAreOneASecond() {
        ReconnectBackoff backoff = new ReconnectBackoff(9);
        long nowUs = 0;
        int attempts = 0;
        while (nowUs < 60_000_000) {
            long delayUs = backoff.nextDelayUs(nowUs);
            // Each attempt opens a stable stream that then breaks, so the backoff is reset each time.
            backoff.onLineReceived(nowUs + delayUs, nowUs + delayUs - ReconnectBackoff.STABLE_AFTER_US);
            nowUs += delayUs;
            attempts++;
        }
        assertTrue(
                attempts <= ReconnectBackoff.MAX_TOKENS + 60 * 1_000_000 / ReconnectBackoff.TOKEN_INTERVAL_US + 1,
                attempts + " connection attempts in 60 s");
        assertTrue(backoff.delaysForTokens() > 0);
    }
}
