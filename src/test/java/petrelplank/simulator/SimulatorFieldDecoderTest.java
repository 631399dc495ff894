package petrelplank.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;
import petrelplank.settings.FormatException;
import petrelplank.settings.JsonFields;
import petrelplank.settings.JsonValue;

/** Checks the status codes of the simulator's protocol, which must not change if enum constants are reordered. */
class SimulatorFieldDecoderTest {
    private static final JsonFactory JSON = new JsonFactory();

    private static JsonFields event(String json) throws IOException {
        try (JsonParser parser = JSON.createParser(json)) {
            parser.nextToken();
            return JsonValue.read(parser).asObject("event 0");
        }
    }

    @ParameterizedTest
    @CsvSource({
        "-1, NONE",
        "0, NONE",
        "1, HIT",
        "2, FILLED",
        "3, FILLED_FROM_ORIGIN",
        "4, COALESCED",
        "5, STALE",
        "6, SOURCE_REJECTED",
        "7, SOURCE_UNREACHABLE",
        "8, SOURCE_MISS",
        "9, FILL_LIMIT_REACHED",
        "10, ORIGIN_FAILED",
        "11, NONE"
    })
    void cacheStatusByCode(long code, CacheStatus expected) throws IOException {
        assertEquals(expected, SimulatorFieldDecoder.cacheStatus(event("{\"note\":" + code + "}")));
    }

    @Test
    void absentCacheStatusIsNone() throws IOException {
        assertEquals(CacheStatus.NONE, SimulatorFieldDecoder.cacheStatus(event("{}")));
    }

    @ParameterizedTest
    @CsvSource({
        "1, OK",
        "2, ERROR",
        "3, REJECTED",
        "4, TIMEOUT",
        "5, CONNECT_FAILED",
        "6, RESET",
        "7, CANCELLED",
        "8, NOT_SENT",
        "9, MISS"
    })
    void attemptStatusByCode(long code, AttemptStatus expected) throws IOException {
        assertEquals(expected, SimulatorFieldDecoder.attemptStatus(event("{\"rc\":" + code + "}")));
    }

    @ParameterizedTest
    @ValueSource(longs = {-1, 0, 10})
    void unknownAttemptStatusIsRejected(long code) throws IOException {
        JsonFields event = event("{\"rc\":" + code + "}");
        assertThrows(FormatException.class, () -> SimulatorFieldDecoder.attemptStatus(event));
    }
}
