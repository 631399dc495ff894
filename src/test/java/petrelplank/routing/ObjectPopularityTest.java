package petrelplank.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the shares of objects in recent requests. */
class ObjectPopularityTest {
    private static final long HALVING_US = 1000;
    private static final long KEY = Hash.mix(1);
    private static final long OTHER = Hash.mix(2);

    private final ObjectPopularity popularity = new ObjectPopularity(HALVING_US);

    private void request(long key, int times, long now) {
        for (int i = 0; i < times; i++) {
            popularity.recordRequest(now, key);
        }
    }

    @Test
    void shareIsZeroUntilThereAreEnoughRequests() {
        request(KEY, 3, 0);
        assertThat(popularity.share(KEY)).isZero();
        request(KEY, 1, 0);
        request(OTHER, 12, 0);
        assertThat(popularity.share(KEY)).isEqualTo(0.25);
    }

    @Test
    void secondRequestMakesAnObjectRepeatedUntilCountsAreHalved() {
        request(KEY, 1, 0);
        assertThat(popularity.isRequestedRepeatedly(KEY)).isFalse();
        request(KEY, 1, 0);
        assertThat(popularity.isRequestedRepeatedly(KEY)).isTrue();
        request(OTHER, 1, HALVING_US + 1);
        assertThat(popularity.isRequestedRepeatedly(KEY)).isFalse();
    }
}
