package petrelplank.upstream;

import java.nio.charset.StandardCharsets;
import java.util.StringJoiner;
import petrelplank.proxy.UpstreamRequest;

/** Encodes the commands of the line protocol that caches, parents and the origin understand. */
final class CommandEncoder {
    private static final int INITIAL_HEADER_CAPACITY = 160;
    private static final byte[] CR_LF = {'\r', '\n'};

    private CommandEncoder() {}

    /**
     * Encodes a request: a header line, the body and a final CR LF. Optional fields that are not set are omitted.
     *
     * @param request the request
     * @param limitMs how long the proxy waits for the response, in milliseconds
     * @return the encoded command
     */
    static byte[] encodeFetch(UpstreamRequest request, long limitMs) {
        byte[] header = encodeHeader(request, limitMs).getBytes(StandardCharsets.ISO_8859_1);
        byte[] body = request.body();
        byte[] command = new byte[header.length + body.length + CR_LF.length];
        System.arraycopy(header, 0, command, 0, header.length);
        System.arraycopy(body, 0, command, header.length, body.length);
        System.arraycopy(CR_LF, 0, command, header.length + body.length, CR_LF.length);
        return command;
    }

    /** Encodes the command that aborts a request: the proxy no longer waits for its response. */
    static byte[] encodeAbort(String requestId) {
        return ("abort " + requestId + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String encodeHeader(UpstreamRequest request, long limitMs) {
        StringBuilder header = new StringBuilder(INITIAL_HEADER_CAPACITY);
        header.append("fetch ").append(request.id());
        header.append(" cls=").append(request.serviceClass());
        header.append(",item=").append(request.object());
        header.append(",chunk=").append(request.part());
        header.append(",limit=").append(limitMs);
        appendFill(header, request);
        appendMode(header, request);
        if (request.clientTag() != null) {
            header.append(",seen=").append(request.clientTag());
        }
        if (request.idempotencyKey() != null) {
            header.append(",nonce=").append(request.idempotencyKey());
        }
        return header.append(' ').append(request.body().length).append("\r\n").toString();
    }

    private static void appendFill(StringBuilder header, UpstreamRequest request) {
        if (request.fillSource() != null) {
            header.append(",from=").append(request.fillSource());
        }
        if (request.rank() > 0) {
            header.append(",rank=").append(request.rank());
        }
        if (request.maxAgeMs() > 0) {
            header.append(",oldest=").append(request.maxAgeMs());
        }
    }

    private static void appendMode(StringBuilder header, UpstreamRequest request) {
        StringJoiner mode = new StringJoiner("+");
        if (request.coalesce()) {
            mode.add("share");
        }
        if (request.onlyIfCached()) {
            mode.add("peek");
        }
        if (request.staleWhileRevalidate()) {
            mode.add("swr");
        }
        if (mode.length() > 0) {
            header.append(",mode=").append(mode);
        }
    }
}
