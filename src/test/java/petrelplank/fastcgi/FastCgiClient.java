package petrelplank.fastcgi;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;

/** A web server's side of FastCGI, blocking, for loopback tests. */
public final class FastCgiClient implements AutoCloseable {
    private static final int TIMEOUT_MS = 20_000;
    private static final int READ_BUFFER_BYTES = 65_536;
    /** In a BEGIN_REQUEST record: behind its header and the role. */
    private static final int FLAGS_AT = FastCgiRecord.HEADER_LENGTH + 2;
    /** In the content of END_REQUEST: behind the application's status. */
    private static final int PROTOCOL_STATUS_AT = 4;

    private static final byte[] BEGIN_RESPONDER = {0, 1, 1, 0, 0, 0, 0, 0};
    private static final byte[] EMPTY = new byte[0];

    private final Socket socket;
    private final RecordParser parser = new RecordParser();
    private final Queue<FastCgiRecord> records = new ArrayDeque<>();
    /** The responses that are coming in, by the ids of their requests. */
    private final Map<Integer, ByteArrayOutputStream> stdout = new HashMap<>();

    /** Connects. */
    public FastCgiClient(InetSocketAddress address) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(TIMEOUT_MS);
    }

    /** Sends a request under an id of the connection; {@code headers} are pairs of name and value. */
    public void sendRequest(int id, String script, byte[] body, String... headers) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(start(id, script, body, headers));
        bytes.writeBytes(RecordEncoder.record(FastCgiRecord.STDIN, id, EMPTY));
        raw(bytes.toByteArray());
    }

    /** Sends a request without KEEP_CONN: the proxy is to close the connection after the response. */
    public void sendLastRequest(int id, String script) throws IOException {
        byte[] bytes = start(id, script, EMPTY);
        bytes[FLAGS_AT] = 0;
        raw(bytes);
        endRequest(id);
    }

    /** Sends a request without its end; see {@link #endRequest}. */
    public void beginRequest(int id, String script, byte[] body, String... headers) throws IOException {
        raw(start(id, script, body, headers));
    }

    /** Sends the end of a request that was begun. */
    public void endRequest(int id) throws IOException {
        raw(RecordEncoder.record(FastCgiRecord.STDIN, id, EMPTY));
    }

    private static byte[] start(int id, String script, byte[] body, String... headers) {
        ByteArrayOutputStream params = new ByteArrayOutputStream();
        ParamsDecoder.append(params, "SCRIPT_NAME", script);
        for (int i = 0; i < headers.length; i += 2) {
            String name = "HTTP_" + headers[i].toUpperCase(Locale.ROOT).replace('-', '_');
            ParamsDecoder.append(params, name, headers[i + 1]);
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(RecordEncoder.record(FastCgiRecord.BEGIN_REQUEST, id, BEGIN_RESPONDER));
        bytes.writeBytes(RecordEncoder.record(FastCgiRecord.PARAMS, id, params.toByteArray()));
        bytes.writeBytes(RecordEncoder.record(FastCgiRecord.PARAMS, id, EMPTY));
        if (body.length > 0) {
            bytes.writeBytes(RecordEncoder.record(FastCgiRecord.STDIN, id, body));
        }
        return bytes.toByteArray();
    }

    /** Sends bytes as they are. */
    public void raw(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    /** Aborts a request. */
    public void abort(int id) throws IOException {
        raw(RecordEncoder.record(FastCgiRecord.ABORT_REQUEST, id, EMPTY));
    }

    /** The next response on the connection, as its id, a blank and the CGI response. */
    public String readResponse() throws IOException {
        byte[] buffer = new byte[READ_BUFFER_BYTES];
        while (true) {
            while (!records.isEmpty()) {
                FastCgiRecord record = records.poll();
                if (record.type() == FastCgiRecord.END_REQUEST) {
                    return ended(record);
                }
                stdout.computeIfAbsent(record.id(), id -> new ByteArrayOutputStream())
                        .writeBytes(record.content());
            }
            int count = socket.getInputStream().read(buffer);
            if (count < 0) {
                return "closed";
            }
            parser.feed(ByteBuffer.wrap(buffer, 0, count), records::add);
        }
    }

    private String ended(FastCgiRecord endRequest) {
        int id = endRequest.id();
        int protocolStatus = endRequest.content()[PROTOCOL_STATUS_AT];
        if (protocolStatus != 0) {
            return id + " declined " + protocolStatus;
        }
        byte[] response = stdout.remove(id).toByteArray();
        return id + " " + new String(response, StandardCharsets.ISO_8859_1);
    }

    /** Whether the proxy has closed the connection, as far as one can see; no response may be pending on it. */
    public boolean closed() throws IOException {
        socket.setSoTimeout(1);
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        } finally {
            socket.setSoTimeout(TIMEOUT_MS);
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
