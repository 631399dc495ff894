package petrelplank.analysis;

import java.util.Arrays;
import java.util.stream.LongStream;

/** Quantiles of integers, each a value that is there. */
final class Quantiles {
    static final double MEDIAN = 0.5;
    static final double LOWER_QUARTILE = 0.25;

    private Quantiles() {}

    /** The value below which a part of them lies; there must be at least one. */
    static long quantile(LongStream values, double part) {
        long[] sorted = values.toArray();
        Arrays.sort(sorted);
        return sorted[(int) Math.min(sorted.length - 1, part * sorted.length)];
    }
}
