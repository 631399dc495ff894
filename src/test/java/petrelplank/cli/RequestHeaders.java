package petrelplank.cli;

import java.util.ArrayList;
import java.util.List;

/** The headers of a request for one and the same object, as pairs of name and value. */
final class RequestHeaders {
    static final int LONG_TIMEOUT_MS = 60_000;
    private static final String OBJECT = "7f3a9c21e0b4d655";
    private static final String SHARD = "17";

    private RequestHeaders() {}

    /**
     * The headers of a request with a time-out that no test waits for.
     *
     * @param requestId the request's id
     * @param more further headers
     * @return all of them
     */
    static String[] of(String requestId, String... more) {
        return withTimeout(requestId, LONG_TIMEOUT_MS, more);
    }

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
