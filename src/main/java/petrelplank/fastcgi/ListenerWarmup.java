package petrelplank.fastcgi;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;

/**
 * Sends several hundred health requests to the proxy over a socket before the proxy reports that it is ready. The JIT
 * compiler has then already compiled the code that reads requests and writes responses. Without this, compilation would
 * compete with the first clients, which arrive all at once, for less than one processor core.
 */
public final class ListenerWarmup {
    private static final int REQUESTS_PER_ROUND = 16;
    private static final int TIMEOUT_MS = 1_000;
    private static final long NS_PER_MS = 1_000_000;
    private static final int READ_BUFFER_BYTES = 8192;
    private static final byte[] EMPTY_CONTENT = new byte[0];
    private static final byte[] BEGIN_REQUEST_BODY = {
        0, FastCgiRecord.ROLE_RESPONDER, FastCgiRecord.FLAG_KEEP_CONNECTION, 0, 0, 0, 0, 0
    };
    /** Parameters of the requests: names, each followed by its value. */
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

    private final Socket socket;
    private final RecordParser parser = new RecordParser();
    private final byte[] readBuffer = new byte[READ_BUFFER_BYTES];
    private int responseCount;

    private ListenerWarmup(Socket socket) {
        this.socket = socket;
    }

    /**
     * Sends rounds of requests and waits for the responses, whatever their status. Starts no further round after one
     * second.
     *
     * @param address the address that the proxy listens on
     * @param rounds the number of rounds, of 16 requests each
     * @throws IOException if the connection cannot be opened, fails, or times out
     */
    public static void run(InetSocketAddress address, int rounds) throws IOException {
        long deadlineNs = System.nanoTime() + TIMEOUT_MS * NS_PER_MS;
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(TIMEOUT_MS);
            new ListenerWarmup(socket).sendRounds(rounds, deadlineNs);
        }
    }

    private void sendRounds(int rounds, long deadlineNs) throws IOException {
        byte[] requests = encodeRound();
        for (int round = 1; round <= rounds && System.nanoTime() < deadlineNs; round++) {
            socket.getOutputStream().write(requests);
            if (!readResponses(round * REQUESTS_PER_ROUND)) {
                return;
            }
        }
    }

    /** Reads until the total number of responses is reached; false if the connection was closed before that. */
    private boolean readResponses(int expectedTotal) throws IOException {
        InputStream input = socket.getInputStream();
        while (responseCount < expectedTotal) {
            int count = input.read(readBuffer);
            if (count < 0) {
                return false;
            }
            parser.feed(ByteBuffer.wrap(readBuffer, 0, count), this::countResponse);
        }
        return true;
    }

    private void countResponse(FastCgiRecord record) {
        if (record.type() == FastCgiRecord.END_REQUEST) {
            responseCount++;
        }
    }

    private static byte[] encodeRound() {
        ByteArrayOutputStream params = new ByteArrayOutputStream();
        for (int i = 0; i < PARAMS.length; i += 2) {
            NameValuePairs.append(params, PARAMS[i], PARAMS[i + 1]);
        }
        ByteArrayOutputStream requests = new ByteArrayOutputStream();
        for (int id = 1; id <= REQUESTS_PER_ROUND; id++) {
            requests.writeBytes(RecordEncoder.encodeRecord(FastCgiRecord.BEGIN_REQUEST, id, BEGIN_REQUEST_BODY));
            requests.writeBytes(RecordEncoder.encodeRecord(FastCgiRecord.PARAMS, id, params.toByteArray()));
            requests.writeBytes(RecordEncoder.encodeRecord(FastCgiRecord.PARAMS, id, EMPTY_CONTENT));
            requests.writeBytes(RecordEncoder.encodeRecord(FastCgiRecord.STDIN, id, EMPTY_CONTENT));
        }
        return requests.toByteArray();
    }
}
