package petrelplank.routing;

/** An exponentially decaying rate: amount per microsecond over about the last {@code windowUs}. */
final class DecayingRate {
    private double sum;
    private long updatedUs;

    /**
     * Adds an amount.
     *
     * @return the rate with it
     */
    double add(long now, double amount, double windowUs) {
        sum = sum * Math.exp((updatedUs - now) / windowUs) + amount;
        updatedUs = now;
        return sum / windowUs;
    }

    /** The rate now. It stores the decayed sum: decay in two steps differs from one by a rounding. */
    double read(long now, double windowUs) {
        return add(now, 0, windowUs);
    }

    void clear() {
        sum = 0;
    }
}
