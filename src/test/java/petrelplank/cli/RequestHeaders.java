package petrelplank.cli;

import java.util.ArrayList;
import java.util.List;

/** Headers of test requests, all for the same object, as alternating names and values. */
final class RequestHeaders {
    static final int LONG_TIMEOUT_MS = 60_000;
    private static final String OBJECT_ID = "7f3a9c21e0b4d655";
    private static final String SHARD = "17";

    private RequestHeaders() {}

    /**
     * The headers of a request with a timeout that is longer than any test waits.
     *
     * @param requestId the request's id
     * @param additionalHeaders additional names and values
     * @return alternating names and values
     */
    static String[] of(String requestId, String... additionalHeaders) {
        return withTimeout(requestId, LONG_TIMEOUT_MS, additionalHeaders);
    }

    /** The headers of a request with the given timeout. */
    static String[] withTimeout(String requestId, int timeoutMs, String... additionalHeaders) {
        List<String> headers = new ArrayList<>(List.of(
                "X-Request-Id",
                requestId,
                "X-Timeout-Ms",
                Integer.toString(timeoutMs),
                "X-Object",
                OBJECT_ID,
                "X-N",
                "0",
                "X-Shard",
                SHARD));
        headers.addAll(List.of(additionalHeaders));
        return headers.toArray(String[]::new);
    }
}
