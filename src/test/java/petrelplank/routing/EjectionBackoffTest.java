package petrelplank.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the pauses between health-check attempts. */
class EjectionBackoffTest {
    private final EjectionBackoff backoff = new EjectionBackoff(100);

    @Test
    void pausesDoubleFromTwoToSixteenConnectTimeouts() {
        long pauseUs = backoff.firstPauseUs();
        assertThat(pauseUs).isEqualTo(200);
        for (long expectedUs : new long[] {400, 800, 1600, 1600}) {
            pauseUs = backoff.nextPauseUs(pauseUs);
            assertThat(pauseUs).isEqualTo(expectedUs);
        }
    }

    @Test
    void withoutAConnectTimeoutThereIsAPauseAllTheSame() {
        assertThat(new EjectionBackoff(0).firstPauseUs()).isPositive();
    }
}
