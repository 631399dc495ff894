package petrelplank.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class AttemptDispatcherTest {
    /** An age limit that follows from a purge would be lost if it were rounded to 0, the limit of the service class. */
    @Test
    void ageLimitIsRoundedDownButNeverToZero() {
        assertEquals(0, AttemptDispatcher.maxAgeMs(0));
        assertEquals(1, AttemptDispatcher.maxAgeMs(1));
        assertEquals(1, AttemptDispatcher.maxAgeMs(1999));
        assertEquals(2, AttemptDispatcher.maxAgeMs(2000));
    }
}
