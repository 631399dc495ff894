package petrelplank.routing;

/** An exponentially decaying rate: the amount per microsecond over roughly the last {@code windowUs}. */
final class DecayingRate {
    private double sum;
    private long updatedUs;

    /**
     * Adds an amount.
     *
     * @return the rate including this amount
     */
    double add(long now, double amount, double windowUs) {
        sum = sum * Math.exp((updatedUs - now) / windowUs) + amount;
        updatedUs = now;
        return sum / windowUs;
    }

    /**
     * Returns the current rate. This also stores the decayed sum, so reading affects the rounding of later results:
     * decay in two steps differs from decay in one step by a rounding error.
     */
    double read(long now, double windowUs) {
        return add(now, 0, windowUs);
    }

    void clear() {
        sum = 0;
    }
}
