package petrelplank.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the token bucket that holds the budget of an endpoint in slow start. */
class TokenBucketTest {
    private final TokenBucket bucket = new TokenBucket();

    @Test
    void firstRefillGivesTheInitialFillAndLaterOnesTheRateUpToTheCapacity() {
        bucket.refill(1000, 0.5, 100, 20);
        assertThat(bucket.holds(20)).isTrue();
        assertThat(bucket.holds(21)).isFalse();
        bucket.refill(1100, 0.5, 100, 20);
        assertThat(bucket.holds(70)).isTrue();
        assertThat(bucket.holds(71)).isFalse();
        bucket.refill(9000, 0.5, 100, 20);
        assertThat(bucket.holds(100)).isTrue();
        assertThat(bucket.holds(101)).isFalse();
    }

    @Test
    void overdraftIsPaidBackBeforeAnythingIsHeld() {
        bucket.refill(1000, 0.5, 100, 20);
        bucket.take(70);
        bucket.refill(1050, 0.5, 100, 20);
        assertThat(bucket.holds(0)).isFalse();
        bucket.refill(1100, 0.5, 100, 20);
        assertThat(bucket.holds(0)).isTrue();
    }

    @Test
    void resetBucketStartsWithTheInitialFill() {
        bucket.refill(1000, 0.5, 100, 20);
        bucket.take(70);
        bucket.reset();
        bucket.refill(1001, 0.5, 100, 30);
        assertThat(bucket.holds(30)).isTrue();
    }
}
