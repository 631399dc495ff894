package petrelplank.analysis;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The entry numbers of one incarnation that have come, with the second of each: finds repeated and missing ones. */
final class EntryNumbers {
    private static final int PAGE_SIZE = 4096;
    /** Numbers near the limit of an array's length are damaged. */
    private static final int MAX_NUMBER = Integer.MAX_VALUE - 8;

    /** The Unix second of each number, by pages; 0 where it has not come. A damaged number costs one page only. */
    private final TreeMap<Integer, int[]> pages = new TreeMap<>();

    /** Notes a number; false where it had come before or can't be one. */
    boolean markSeen(long number, long unixUs) {
        if (number < 0 || number > MAX_NUMBER) {
            return false;
        }
        int index = (int) number;
        int[] page = pages.computeIfAbsent(index / PAGE_SIZE, first -> new int[PAGE_SIZE]);
        if (page[index % PAGE_SIZE] != 0) {
            return false;
        }
        page[index % PAGE_SIZE] = (int) Math.max(1, UnixTime.second(unixUs));
        return true;
    }

    /** Missing numbers in order; what may be missing behind the last entry is not known. */
    List<Incarnation.Gap> gaps() {
        List<Incarnation.Gap> gaps = new ArrayList<>();
        long expected = 0;
        int secondBefore = 0;
        for (Map.Entry<Integer, int[]> page : pages.entrySet()) {
            for (int offset = 0; offset < PAGE_SIZE; offset++) {
                int second = page.getValue()[offset];
                if (second == 0) {
                    continue;
                }
                long number = (long) page.getKey() * PAGE_SIZE + offset;
                if (number > expected) {
                    gaps.add(new Incarnation.Gap(expected, number - 1, expected == 0 ? second : secondBefore, second));
                }
                expected = number + 1;
                secondBefore = second;
            }
        }
        return gaps;
    }
}
