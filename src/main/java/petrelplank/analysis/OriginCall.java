package petrelplank.analysis;

import java.util.Comparator;

/**
 * A call of the origin.
 *
 * @param startedUs when it was made
 * @param endedUs when its result was known
 * @param succeeded whether the origin answered well
 */
record OriginCall(long startedUs, long endedUs, boolean succeeded) {
    /** By start, then by end; failures before successes. */
    static final Comparator<OriginCall> BY_START = Comparator.comparingLong(OriginCall::startedUs)
            .thenComparingLong(OriginCall::endedUs)
            .thenComparing(OriginCall::succeeded);

    long durationUs() {
        return endedUs - startedUs;
    }

    /** Reads a row as written by {@link #addTo}. */
    static OriginCall ofRow(long[] row) {
        return new OriginCall(row[0], row[1], row[2] == 1);
    }

    static void addTo(LongTable table, long startedUs, long endedUs, boolean succeeded) {
        table.add(startedUs, endedUs, succeeded ? 1 : 0);
    }
}
