package petrelplank.fastcgi;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RequestDecoderTest {
    private static final byte[] BODY = {'h', 'i'};

    private static Map<String, String> validParams() {
        return new HashMap<>(Map.of(
                "SCRIPT_NAME",
                "/invoke/media",
                "CONTENT_LENGTH",
                "2",
                "HTTP_X_REQUEST_ID",
                "9b1f03aa5c7e2d41",
                "HTTP_X_TIMEOUT_MS",
                "1500",
                "HTTP_X_OBJECT",
                "7f3a9c21e0b4d655",
                "HTTP_X_N",
                "0",
                "HTTP_X_SHARD",
                "17"));
    }

    /**
     * Guards against two earlier faults: numbers out of range overflowed the calculation of the deadline, and requests
     * with a CONTENT_LENGTH that differs from the length of the body were passed on.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP_X_TIMEOUT_MS=9223372036854775",
                "HTTP_X_TIMEOUT_MS=-5",
                "HTTP_X_TIMEOUT_MS=+5",
                "HTTP_X_TIMEOUT_MS=",
                "HTTP_X_N=1.5",
                "HTTP_X_N=99999999999",
                "HTTP_X_SHARD=many",
                "HTTP_X_MEMORY_KB=-1",
                "HTTP_X_MEMORY_KB=NaN",
                "HTTP_X_MEMORY_KB=1e400",
                "HTTP_X_MEMORY_KB=9999999999",
                "HTTP_X_MEMORY_KB=12 ",
                "CONTENT_LENGTH=3",
                "CONTENT_LENGTH=-1",
                "SCRIPT_NAME=/invoke",
                "SCRIPT_NAME=/other/media"
            })
    void invalidParameterIsNamedInException(String assignment) {
        Map<String, String> params = validParams();
        assertEquals(1_500_000, new RequestDecoder(1).decode(params, BODY).timeoutUs());
        params.put("HTTP_X_MEMORY_KB", "412.5");
        assertEquals(206.25, new RequestDecoder(0.5).decode(params, BODY).sizeKb());
        int separator = assignment.indexOf('=');
        String name = assignment.substring(0, separator);
        params.put(name, assignment.substring(separator + 1));
        InvalidRequestException exception =
                assertThrows(InvalidRequestException.class, () -> new RequestDecoder(1).decode(params, BODY));
        assertEquals(name, exception.parameter());
    }
}
