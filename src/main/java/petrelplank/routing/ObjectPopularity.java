package petrelplank.routing;

/** Request counts by object in a table of fixed size; they are halved at intervals, so recent requests dominate. */
final class ObjectPopularity {
    private static final int CELLS = 1 << 13;
    /** Lowest bit of the key that is part of the table index. */
    private static final int KEY_SHIFT = 20;
    /** Fewer requests than this are too few to estimate an object's share. */
    private static final int MIN_COUNT = 4;
    /** An object with a count above this was requested more than once recently. */
    private static final double REPEATED_COUNT = 1.5;

    private final float[] counts = new float[CELLS];
    private final double halvingIntervalUs;
    private double total;
    private long halvedUs;

    ObjectPopularity(double halvingIntervalUs) {
        this.halvingIntervalUs = halvingIntervalUs;
    }

    /** Counts a request for the object with this key. */
    void recordRequest(long now, long key) {
        if (now - halvedUs > halvingIntervalUs) {
            for (int i = 0; i < counts.length; i++) {
                counts[i] /= 2;
            }
            total /= 2;
            halvedUs = now;
        }
        counts[cell(key)]++;
        total++;
    }

    /** Returns the object's share of recent requests, from 0 to 1; 0 while there are too few to estimate it. */
    double share(long key) {
        int cell = cell(key);
        return counts[cell] < MIN_COUNT ? 0 : counts[cell] / total;
    }

    /** Whether the object was requested more than once recently. */
    boolean isRepeated(long key) {
        return counts[cell(key)] > REPEATED_COUNT;
    }

    private static int cell(long key) {
        return (int) (key >>> KEY_SHIFT) & (CELLS - 1);
    }
}
