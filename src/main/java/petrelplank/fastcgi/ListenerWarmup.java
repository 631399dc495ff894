package petrelplank.fastcgi;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Asks a front for its health as clients do, some hundred times, before it is ready: what reads requests and writes
 * answers is then compiled when the first clients come, all at once, under part of a core.
 */
public final class ListenerWarmup {
    private static final int AT_ONCE = 16;
    private static final int PATIENCE_MS = 1_000;
    private static final String[] PARAMS = {
        "SCRIPT_NAME",
        "/_health",
        "REQUEST_METHOD",
        "POST",
        "QUERY_STRING",
        "",
        "CONTENT_LENGTH",
        "0",
        "SERVER_PROTOCOL",
        "HTTP/1.1",
        "HTTP_X_REQUEST_ID",
        "0000000000000000",
        "HTTP_X_TIMEOUT_MS",
        "1000",
        "HTTP_X_OBJECT",
        "0000000000000000",
        "HTTP_X_SHARD",
        "0",
        "HTTP_X_N",
        "0"
    };

    private ListenerWarmup() {}

    /**
     * Asks and waits for the answers; whatever they are, and fewer where they take too long.
     *
     * @param front where the front listens
     * @param rounds how many times 16 requests are asked at once
     * @throws IOException where the connection breaks
     */
    public static void ask(InetSocketAddress front, int rounds) throws IOException {
        byte[] requests = requests();
        long until = System.nanoTime() + PATIENCE_MS * 1_000_000L;
        try (Socket socket = new Socket(front.getAddress(), front.getPort())) {
            socket.setSoTimeout(PATIENCE_MS);
            InputStream in = socket.getInputStream();
            RecordParser parser = new RecordParser();
            byte[] buffer = new byte[8192];
            int[] ended = new int[1];
            for (int i = 1; i <= rounds && System.nanoTime() < until; i++) {
                socket.getOutputStream().write(requests);
                while (ended[0] < i * AT_ONCE) {
                    int count = in.read(buffer);
                    if (count < 0) {
                        return;
                    }
                    parser.feed(
                            ByteBuffer.wrap(buffer, 0, count),
                            r -> ended[0] += r.type() == FastCgiRecord.END_REQUEST ? 1 : 0);
                }
            }
        }
    }

    private static byte[] requests() {
        ByteArrayOutputStream params = new ByteArrayOutputStream();
        for (int i = 0; i < PARAMS.length; i += 2) {
            params.write(PARAMS[i].length());
            params.write(PARAMS[i + 1].length());
            params.writeBytes((PARAMS[i] + PARAMS[i + 1]).getBytes(StandardCharsets.ISO_8859_1));
        }
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int id = 1; id <= AT_ONCE; id++) {
            all.writeBytes(RecordEncoder.record(FastCgiRecord.BEGIN_REQUEST, id, new byte[] {
                0, FastCgiRecord.RESPONDER, FastCgiRecord.KEEP_CONN, 0, 0, 0, 0, 0
            }));
            all.writeBytes(RecordEncoder.record(FastCgiRecord.PARAMS, id, params.toByteArray()));
            all.writeBytes(RecordEncoder.record(FastCgiRecord.PARAMS, id, new byte[0]));
            all.writeBytes(RecordEncoder.record(FastCgiRecord.STDIN, id, new byte[0]));
        }
        return all.toByteArray();
    }
}
