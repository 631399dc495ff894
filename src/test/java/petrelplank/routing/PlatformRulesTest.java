package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the validation of platform rules. */
class PlatformRulesTest {
    @Test
    void badValueIsNamedInTheMessage() {
        IllegalArgumentException thrown = assertThrows(
                IllegalArgumentException.class, () -> new PlatformRules(-1, 0.2, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0));
        assertTrue(
                thrown.getMessage().contains("stop-sending-within-us")
                        && thrown.getMessage().contains("-1"),
                thrown.getMessage());
    }
}
