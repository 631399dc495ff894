package petrelplank.upstream;

import java.nio.charset.StandardCharsets;
import java.util.StringJoiner;
import petrelplank.proxy.UpstreamRequest;

/** Encodes commands to caches, parents and the origin. */
final class CommandEncoder {
    private static final int USUAL_HEADER_LENGTH = 160;
    private static final byte[] CR_LF = {'\r', '\n'};

    private CommandEncoder() {}

    /**
     * A request: a header line, then the body and CR LF behind it. Fields that ask for nothing are left out.
     *
     * @param limitMs how long the proxy waits for the response
     */
    static byte[] fetch(UpstreamRequest request, long limitMs) {
        byte[] header = header(request, limitMs).getBytes(StandardCharsets.ISO_8859_1);
        byte[] body = request.body();
        byte[] command = new byte[header.length + body.length + CR_LF.length];
        System.arraycopy(header, 0, command, 0, header.length);
        System.arraycopy(body, 0, command, header.length, body.length);
        System.arraycopy(CR_LF, 0, command, header.length + body.length, CR_LF.length);
        return command;
    }

    /** Tells the server that nobody waits for the response to a request any more. */
    static byte[] abort(String requestId) {
        return ("abort " + requestId + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String header(UpstreamRequest request, long limitMs) {
        StringBuilder header = new StringBuilder(USUAL_HEADER_LENGTH);
        header.append("fetch ").append(request.id());
        header.append(" cls=").append(request.serviceClass());
        header.append(",item=").append(request.object());
        header.append(",chunk=").append(request.part());
        header.append(",limit=").append(limitMs);
        appendFill(header, request);
        appendMode(header, request);
        if (request.tag() != null) {
            header.append(",seen=").append(request.tag());
        }
        if (request.key() != null) {
            header.append(",nonce=").append(request.key());
        }
        return header.append(' ').append(request.body().length).append("\r\n").toString();
    }

    private static void appendFill(StringBuilder header, UpstreamRequest request) {
        if (request.source() != null) {
            header.append(",from=").append(request.source());
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
