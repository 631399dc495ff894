package petrelplank.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import petrelplank.upstream.StallDetector.Stall;

class StallDetectorTest {
    private final StallDetector detector = new StallDetector();

    private void assertNoStall(int sweeps) {
        for (int i = 0; i < sweeps; i++) {
            assertEquals(Stall.NONE, detector.sweep());
        }
    }

    @Test
    void responseThatDoesNotGrowOverFourSweepsIsIncomplete() {
        detector.bytesRead(100, true);
        assertNoStall(4);
        assertEquals(Stall.INCOMPLETE_RESPONSE, detector.sweep());
    }

    @Test
    void responseThatGrowsOrEndsIsNotStalled() {
        detector.bytesRead(100, true);
        assertNoStall(4);
        detector.bytesRead(101, true);
        assertNoStall(4);
        detector.bytesRead(102, false);
        assertNoStall(10);
    }
}
