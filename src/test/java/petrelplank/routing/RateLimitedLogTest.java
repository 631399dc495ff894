package petrelplank.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The limit of one log line per interval. */
class RateLimitedLogTest {
    private final RecordingActions actions = new RecordingActions();
    private final RateLimitedLog log = new RateLimitedLog(actions, 100);

    @Test
    void oneLineIsWrittenInEachInterval() {
        log.log(0, "first");
        log.log(100, "dropped");
        log.log(101, "second");
        log.log(150, "dropped");
        assertThat(actions.logLines).containsExactly("first", "second");
    }
}
