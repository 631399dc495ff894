package petrelplank.cli;

import java.util.ArrayList;
import java.util.List;

/** Headers of test requests, all for the same object, as alternating names and values. */
final class RequestHeaders {
    static final int LONG_TIMEOUT_MS = 60_000;
    private static final String OBJECT = "7f3a9c21e0b4d655";
    private static final String SHARD = "17";

    private RequestHeaders() {}

    /**
     * The headers of a request with a timeout that is longer than any test waits.
     *
     * @param requestId the request's id
     * @param more additional names and values
     * @return alternating names and values
     */
    static String[] of(String requestId, String... more) {
        return withTimeout(requestId, LONG_TIMEOUT_MS, more);
    }

    /** The headers of a request with the given timeout. */
    static String[] withTimeout(String requestId, int timeoutMs, String... more) {
        List<String> headers = new ArrayList<>(List.of(
                "X-Request-Id",
                requestId,
                "X-Timeout-Ms",
                Integer.toString(timeoutMs),
                "X-Object",
                OBJECT,
                "X-N",
                "0",
                "X-Shard",
                SHARD));
        headers.addAll(List.of(more));
        return headers.toArray(String[]::new);
    }
}
