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
import java.util.Map;
import java.util.Queue;

/** A web server's side of FastCGI, blocking, for loopback tests. */
public final class FcgiClient implements AutoCloseable {
    private static final int PATIENCE_MS = 20_000;
    /** Of a BEGIN_REQUEST record: behind its header of 8 bytes and the role. */
    private static final int FLAGS_AT = 10;

    private final Socket socket;
    private final RecordParser parser = new RecordParser();
    private final Queue<FastCgiRecord> records = new ArrayDeque<>();
    private final Map<Integer, ByteArrayOutputStream> out = new HashMap<>();

    /** Connects. */
    public FcgiClient(InetSocketAddress address) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(PATIENCE_MS);
    }

    /** Asks for an object under an id of the connection; {@code headers} are pairs of name and value. */
    public void ask(int id, String script, byte[] body, String... headers) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(start(id, script, body, headers));
        all.writeBytes(RecordEncoder.record(FastCgiRecord.STDIN, id, new byte[0]));
        raw(all.toByteArray());
    }

    /** Asks without KEEP_CONN: the front is to close the connection behind the answer. */
    public void askLast(int id, String script) throws IOException {
        byte[] begun = start(id, script, new byte[0]);
        begun[FLAGS_AT] = 0;
        raw(begun);
        end(id);
    }

    /** Sends all of a request but its end; see {@link #end}. */
    public void begin(int id, String script, byte[] body, String... headers) throws IOException {
        raw(start(id, script, body, headers));
    }

    /** Sends the end of a request begun. */
    public void end(int id) throws IOException {
        raw(RecordEncoder.record(FastCgiRecord.STDIN, id, new byte[0]));
    }

    private static byte[] start(int id, String script, byte[] body, String... headers) {
        ByteArrayOutputStream params = new ByteArrayOutputStream();
        pair(params, "SCRIPT_NAME", script);
        for (int i = 0; i < headers.length; i += 2) {
            pair(params, "HTTP_" + headers[i].toUpperCase(java.util.Locale.ROOT).replace('-', '_'), headers[i + 1]);
        }
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(RecordEncoder.record(FastCgiRecord.BEGIN_REQUEST, id, new byte[] {0, 1, 1, 0, 0, 0, 0, 0}));
        all.writeBytes(RecordEncoder.record(FastCgiRecord.PARAMS, id, params.toByteArray()));
        all.writeBytes(RecordEncoder.record(FastCgiRecord.PARAMS, id, new byte[0]));
        if (body.length > 0) {
            all.writeBytes(RecordEncoder.record(FastCgiRecord.STDIN, id, body));
        }
        return all.toByteArray();
    }

    private static void pair(ByteArrayOutputStream to, String name, String value) {
        to.write(name.length());
        to.write(value.length());
        to.writeBytes((name + value).getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends bytes as they are. */
    public void raw(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    /** Gives a request up. */
    public void abort(int id) throws IOException {
        raw(RecordEncoder.record(FastCgiRecord.ABORT_REQUEST, id, new byte[0]));
    }

    /** The next answer on the connection, as its id, a blank and the CGI response. */
    public String answer() throws IOException {
        byte[] buffer = new byte[65_536];
        while (true) {
            while (!records.isEmpty()) {
                FastCgiRecord r = records.poll();
                if (r.type() == FastCgiRecord.END_REQUEST) {
                    if (r.content()[4] != 0) {
                        return r.id() + " declined " + r.content()[4];
                    }
                    byte[] text = out.remove(r.id()).toByteArray();
                    return r.id() + " " + new String(text, StandardCharsets.ISO_8859_1);
                }
                out.computeIfAbsent(r.id(), i -> new ByteArrayOutputStream()).writeBytes(r.content());
            }
            int count = socket.getInputStream().read(buffer);
            if (count < 0) {
                return "closed";
            }
            parser.feed(ByteBuffer.wrap(buffer, 0, count), records::add);
        }
    }

    /** Whether the front has closed the connection, as far as one can see; nothing is owed on it. */
    public boolean closed() throws IOException {
        socket.setSoTimeout(1);
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        } finally {
            socket.setSoTimeout(PATIENCE_MS);
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
