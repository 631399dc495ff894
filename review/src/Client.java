import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.zip.CRC32;

/** A client connection: FastCGI 1.0, role Responder, KEEP_CONN, several open requests. */
final class Client implements AutoCloseable {
    /** One request and its answer. */
    static final class Call {
        final int id;
        final String path;
        final String requestId;
        volatile long writtenMs;
        volatile long firstByteMs;
        volatile long endedMs;
        /** The connection ended before the answer did. */
        volatile boolean cut;
        volatile int protocolStatus = -1;
        /** The CGI headers; the body is only counted and summed up. */
        private final StringBuilder headers = new StringBuilder();
        private boolean headersEnded;
        private final CRC32 bodySum = new CRC32();
        volatile int bodyBytes;
        final CountDownLatch done = new CountDownLatch(1);

        Call(int id, String path, String requestId) {
            this.id = id;
            this.path = path;
            this.requestId = requestId;
        }

        boolean await(long ms) throws InterruptedException {
            return done.await(ms, TimeUnit.MILLISECONDS);
        }

        boolean answered() {
            return done.getCount() == 0 && !cut;
        }

        /** The CGI status, or -1 while there is none. */
        int status() {
            return headers.indexOf("Status: ") == 0 ? Integer.parseInt(headers.substring(8, 11)) : -1;
        }

        String headers() {
            return headers.toString();
        }

        long bodySum() {
            return bodySum.getValue();
        }

        private void append(byte[] content) {
            int at = 0;
            while (!headersEnded && at < content.length) {
                headers.append((char) (content[at++] & 255));
                headersEnded = headers.length() >= 4 && headers.substring(headers.length() - 4).equals("\r\n\r\n");
            }
            bodySum.update(content, at, content.length - at);
            bodyBytes += content.length - at;
        }

        /** served, refused, failed, or none. */
        String kind() {
            if (!answered()) {
                return "none";
            }
            int status = status();
            if (status == 200) {
                return "served";
            }
            return status == 429 || status == 503 || protocolStatus == 2 ? "refused" : "failed";
        }
    }

    private static final long CROSSING_MS = 50;

    private final Socket socket;
    private final long bytesPerSecond;
    private final Map<Integer, Call> open = new LinkedHashMap<>();
    final List<Call> calls = new ArrayList<>();
    private int nextId = 1;
    /** Why the connection ended, or null. */
    volatile String ended;
    volatile long endedMs;
    volatile long bytesRead;

    /**
     * Connects.
     *
     * @param bytesPerSecond how fast this client reads; 0: as fast as it can
     * @param receiveBuffer size of the receive buffer; 0: the system's
     */
    Client(InetSocketAddress address, long bytesPerSecond, int receiveBuffer) throws IOException {
        this.bytesPerSecond = bytesPerSecond;
        socket = new Socket();
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.setTcpNoDelay(true);
        socket.connect(address, 2000);
        Thread reader = new Thread(this::read, "client");
        reader.setDaemon(true);
        reader.start();
    }

    static Map<String, String> params(String requestId, long timeoutMs, long object, int part, int group) {
        Map<String, String> params = new LinkedHashMap<>();
        params.put("HTTP_X_REQUEST_ID", requestId);
        params.put("HTTP_X_TIMEOUT_MS", Long.toString(timeoutMs));
        params.put("HTTP_X_OBJECT", String.format("%016x", object));
        params.put("HTTP_X_N", Integer.toString(part));
        params.put("HTTP_X_SHARD", Integer.toString(group));
        return params;
    }

    Call send(String path, Map<String, String> params) throws IOException {
        return send(path, params, new byte[0]);
    }

    Call send(String path, Map<String, String> params, byte[] body) throws IOException {
        ByteArrayOutputStream pairs = new ByteArrayOutputStream();
        pair(pairs, "SCRIPT_NAME", path);
        pair(pairs, "REQUEST_METHOD", "POST");
        pair(pairs, "CONTENT_LENGTH", Integer.toString(body.length));
        params.forEach((name, value) -> pair(pairs, name, value));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        Call call;
        synchronized (open) {
            call = new Call(nextId++, path, params.get("HTTP_X_REQUEST_ID"));
            open.put(call.id, call);
            calls.add(call);
        }
        record(bytes, 1, call.id, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
        record(bytes, 4, call.id, pairs.toByteArray());
        record(bytes, 4, call.id, new byte[0]);
        if (body.length > 0) {
            record(bytes, 5, call.id, body);
        }
        record(bytes, 5, call.id, new byte[0]);
        synchronized (socket) {
            socket.getOutputStream().write(bytes.toByteArray());
        }
        call.writtenMs = System.currentTimeMillis();
        return call;
    }

    /**
     * Whether a request was taken by the front and not by the excuses of the pages: it was written whole, and not within
     * 50 ms of the end of the connection or after it, when a client sends it once more on a new one.
     */
    boolean wasTaken(Call call) {
        return call.writtenMs > 0 && (ended == null || call.writtenMs < endedMs - CROSSING_MS);
    }

    void abort(Call call) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        record(bytes, 2, call.id, new byte[0]);
        synchronized (socket) {
            socket.getOutputStream().write(bytes.toByteArray());
        }
    }

    int openCount() {
        synchronized (open) {
            return open.size();
        }
    }

    private static void record(ByteArrayOutputStream out, int type, int id, byte[] content) {
        out.writeBytes(new byte[] {
            1, (byte) type, (byte) (id >> 8), (byte) id, (byte) (content.length >> 8), (byte) content.length, 0, 0
        });
        out.writeBytes(content);
    }

    private static void pair(ByteArrayOutputStream out, String name, String value) {
        out.write(name.length());
        out.write(value.length());
        out.writeBytes(name.getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(value.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void read() {
        try {
            DataInputStream input = new DataInputStream(paced(socket.getInputStream()));
            while (true) {
                byte[] header = new byte[8];
                input.readFully(header);
                int id = (header[2] & 255) << 8 | header[3] & 255;
                byte[] content = new byte[(header[4] & 255) << 8 | header[5] & 255];
                Call call;
                synchronized (open) {
                    call = open.get(id);
                }
                if (call != null && call.firstByteMs == 0) {
                    call.firstByteMs = System.currentTimeMillis();
                }
                input.readFully(content);
                input.readFully(new byte[header[6] & 255]);
                if (call == null) {
                    continue;
                }
                if (header[1] == 6) {
                    call.append(content);
                } else if (header[1] == 3) {
                    call.protocolStatus = content[4];
                    finish(call, false);
                }
            }
        } catch (IOException e) {
            endedMs = System.currentTimeMillis();
            ended = String.valueOf(e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage());
            List<Call> left;
            synchronized (open) {
                left = new ArrayList<>(open.values());
            }
            left.forEach(call -> finish(call, true));
        }
    }

    private void finish(Call call, boolean cut) {
        call.cut = cut;
        call.endedMs = System.currentTimeMillis();
        synchronized (open) {
            open.remove(call.id);
        }
        call.done.countDown();
    }

    private InputStream paced(InputStream input) {
        return new InputStream() {
            @Override
            public int read() throws IOException {
                byte[] one = new byte[1];
                return read(one, 0, 1) < 0 ? -1 : one[0] & 255;
            }

            @Override
            public int read(byte[] bytes, int offset, int length) throws IOException {
                int count = input.read(bytes, offset, bytesPerSecond > 0 ? Math.min(length, 16_384) : length);
                if (count > 0) {
                    bytesRead += count;
                    pace();
                }
                return count;
            }

            private long creditNs = System.nanoTime();

            private void pace() {
                if (bytesPerSecond <= 0) {
                    return;
                }
                long now = System.nanoTime();
                creditNs = Math.max(creditNs, now - 20_000_000L) + 16_384L * 1_000_000_000L / bytesPerSecond;
                long waitMs = (creditNs - now) / 1_000_000L;
                if (waitMs > 0) {
                    try {
                        Thread.sleep(waitMs);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }
            }
        };
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
