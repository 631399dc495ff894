package petrelplank.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class AttemptDispatcherTest {
    /** Rounded to 0, a purge's age limit would stand for the class's own limit. */
    @Test
    void ageLimitIsRoundedDownButNeverToZero() {
        assertEquals(0, AttemptDispatcher.maxAgeMs(0));
        assertEquals(1, AttemptDispatcher.maxAgeMs(1));
        assertEquals(1, AttemptDispatcher.maxAgeMs(1999));
        assertEquals(2, AttemptDispatcher.maxAgeMs(2000));
    }
}
