package petrelplank.routing;

/**
 * A token bucket whose tokens are microseconds of transfer time, the estimated time of sending a response at a
 * client's rate ({@link TransferTimeEstimator}). Its level may become negative.
 */
final class TokenBucket {
    private double tokensUs;
    /** Time of the last refill; 0 before the first one. */
    private long lastRefillAtUs;

    /**
     * Adds the tokens accrued at the rate since the last refill, up to the capacity. The first refill sets the level to
     * the initial value instead.
     */
    void refill(long nowUs, double rate, double capacityUs, double initialUs) {
        tokensUs = lastRefillAtUs == 0 ? initialUs : Math.min(capacityUs, tokensUs + rate * (nowUs - lastRefillAtUs));
        lastRefillAtUs = nowUs;
    }

    boolean holds(double transferUs) {
        return tokensUs >= transferUs;
    }

    void take(double transferUs) {
        tokensUs -= transferUs;
    }

    /** Makes the next refill the first one again. */
    void reset() {
        lastRefillAtUs = 0;
    }
}
