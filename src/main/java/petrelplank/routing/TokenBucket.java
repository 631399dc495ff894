package petrelplank.routing;

/** A token bucket in transfer time; below 0 where more was taken than it held. */
final class TokenBucket {
    private double tokensUs;
    /** When it was last refilled; 0 before its first use. */
    private long refilledUs;

    /**
     * Adds what the rate earned since the last refill, up to the capacity; a new bucket starts with the initial fill.
     */
    void refill(long now, double rate, double capacityUs, double initialUs) {
        tokensUs = refilledUs == 0 ? initialUs : Math.min(capacityUs, tokensUs + rate * (now - refilledUs));
        refilledUs = now;
    }

    boolean holds(double transferUs) {
        return tokensUs >= transferUs;
    }

    void take(double transferUs) {
        tokensUs -= transferUs;
    }

    /** The next refill starts anew. */
    void reset() {
        refilledUs = 0;
    }
}
