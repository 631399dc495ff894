package petrelplank.routing;

/** Request counts by object in a table of fixed size; they are halved at intervals, so recent requests dominate. */
final class ObjectPopularity {
    private static final int TABLE_SIZE = 1 << 13;
    /** Lowest bit of the key that is part of the table index. */
    private static final int INDEX_SHIFT = 20;
    /** Fewer requests than this are too few to estimate an object's share. */
    private static final int MIN_COUNT_FOR_SHARE = 4;
    /** An object with a count above this was requested more than once recently. */
    private static final double REPEATED_COUNT = 1.5;

    private final float[] counts = new float[TABLE_SIZE];
    private final double halvingIntervalUs;
    private double totalCount;
    private long lastHalvedUs;

    ObjectPopularity(double halvingIntervalUs) {
        this.halvingIntervalUs = halvingIntervalUs;
    }

    /** Counts a request for the object with this key. */
    void recordRequest(long now, long key) {
        if (now - lastHalvedUs > halvingIntervalUs) {
            for (int i = 0; i < counts.length; i++) {
                counts[i] /= 2;
            }
            totalCount /= 2;
            lastHalvedUs = now;
        }
        counts[tableIndex(key)]++;
        totalCount++;
    }

    /** Returns the object's share of recent requests, from 0 to 1; 0 while there are too few to estimate it. */
    double share(long key) {
        int index = tableIndex(key);
        return counts[index] < MIN_COUNT_FOR_SHARE ? 0 : counts[index] / totalCount;
    }

    /** Whether the object was requested more than once recently. */
    boolean isRequestedRepeatedly(long key) {
        return counts[tableIndex(key)] > REPEATED_COUNT;
    }

    private static int tableIndex(long key) {
        return (int) (key >>> INDEX_SHIFT) & (TABLE_SIZE - 1);
    }
}
