package petrelplank.upstream;

import java.nio.charset.StandardCharsets;
import java.util.StringJoiner;
import petrelplank.proxy.UpstreamRequest;

/** Writes commands to caches, parents and the origin. */
final class CommandEncoder {
    private CommandEncoder() {}

    static byte[] request(UpstreamRequest f, long limitMs) {
        StringBuilder head = new StringBuilder(160)
                .append("fetch ")
                .append(f.id())
                .append(" cls=")
                .append(f.serviceClass())
                .append(",item=")
                .append(f.object())
                .append(",chunk=")
                .append(f.part())
                .append(",limit=")
                .append(limitMs);
        if (f.source() != null) {
            head.append(",from=").append(f.source());
        }
        if (f.rank() > 0) {
            head.append(",rank=").append(f.rank());
        }
        if (f.oldestMs() > 0) {
            head.append(",oldest=").append(f.oldestMs());
        }
        StringJoiner mode = new StringJoiner("+");
        if (f.coalesce()) {
            mode.add("share");
        }
        if (f.onlyIfCached()) {
            mode.add("peek");
        }
        if (f.staleWhileRevalidate()) {
            mode.add("swr");
        }
        if (mode.length() > 0) {
            head.append(",mode=").append(mode);
        }
        if (f.tag() != null) {
            head.append(",seen=").append(f.tag());
        }
        if (f.key() != null) {
            head.append(",nonce=").append(f.key());
        }
        byte[] start = head.append(' ')
                .append(f.body().length)
                .append("\r\n")
                .toString()
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + f.body().length + 2];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(f.body(), 0, all, start.length, f.body().length);
        all[all.length - 2] = '\r';
        all[all.length - 1] = '\n';
        return all;
    }

    static byte[] abort(String id) {
        return ("abort " + id + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }
}
