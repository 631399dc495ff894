package petrelplank.analysis;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Unix seconds in which something went on.
 *
 * @param first the first
 * @param last the last, included
 */
record SecondRange(long first, long last) {
    /** So many seconds may be missing within a range. */
    private static final int MAX_GAP = 1;

    long length() {
        return last - first + 1;
    }

    boolean contains(long second) {
        return second >= first && second <= last;
    }

    /** The sum of the figures of its seconds. */
    long sum(Map<Long, Long> figureBySecond) {
        return figureBySecond.entrySet().stream()
                .filter(entry -> contains(entry.getKey()))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    /** Groups seconds in ascending order to ranges, and keeps those of a least length. */
    static List<SecondRange> ranges(List<Long> seconds, int minLength) {
        List<SecondRange> ranges = new ArrayList<>();
        for (long second : seconds) {
            SecondRange last = ranges.isEmpty() ? null : ranges.get(ranges.size() - 1);
            if (last != null && second - last.last() <= MAX_GAP + 1) {
                ranges.set(ranges.size() - 1, new SecondRange(last.first(), second));
            } else {
                ranges.add(new SecondRange(second, second));
            }
        }
        ranges.removeIf(range -> range.length() < minLength);
        return ranges;
    }
}
