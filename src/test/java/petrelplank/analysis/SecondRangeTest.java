package petrelplank.analysis;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SecondRangeTest {
    @Test
    void oneMissingSecondIsBridgedAndTwoAreNot() {
        assertEquals(
                List.of(new SecondRange(1, 4), new SecondRange(7, 9)),
                SecondRange.ranges(List.of(1L, 2L, 4L, 7L, 8L, 9L), 3));
    }

    @Test
    void shortRangesAreLeftOut() {
        assertEquals(List.of(new SecondRange(5, 7)), SecondRange.ranges(List.of(1L, 2L, 5L, 7L), 3));
        assertEquals(List.of(), SecondRange.ranges(List.of(), 1));
    }

    @Test
    void sumIsOfTheSecondsWithin() {
        assertEquals(5, new SecondRange(2, 3).sum(Map.of(1L, 1L, 2L, 2L, 3L, 3L, 4L, 4L)));
    }
}
