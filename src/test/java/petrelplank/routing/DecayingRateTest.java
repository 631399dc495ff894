package petrelplank.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/** Tests a rate over a window. */
class DecayingRateTest {
    private static final double WINDOW_US = 1000;

    private final DecayingRate rate = new DecayingRate();

    @Test
    void amountCountsInFullAtOnceAndDecaysByEInAWindow() {
        assertThat(rate.add(0, 50, WINDOW_US)).isEqualTo(0.05);
        assertThat(rate.read(1000, WINDOW_US)).isCloseTo(0.05 / Math.E, within(1e-12));
    }

    @Test
    void clearedRateIsZero() {
        rate.add(0, 50, WINDOW_US);
        rate.clear();
        assertThat(rate.read(0, WINDOW_US)).isZero();
    }
}
