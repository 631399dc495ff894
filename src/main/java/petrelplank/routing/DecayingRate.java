package petrelplank.routing;

/** A rate that fades: work per microsecond over about the last {@code windowUs}. */
final class DecayingRate {
    private double sum;
    private long atUs;

    /** Adds work (0 to only read) and tells the rate. */
    double add(long now, double work, double windowUs) {
        sum = sum * Math.exp((atUs - now) / windowUs) + work;
        atUs = now;
        return sum / windowUs;
    }

    void clear() {
        sum = 0;
    }
}
