package petrelplank.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A cache for tests, by the line protocol: responds to every command with a request id as to a hit with the body
 * {@code abc}, and to {@code abort} not at all. Counts connections and commands.
 */
final class FakeCacheServer extends FakeTcpServer {
    static final String BODY = "abc";
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger commands = new AtomicInteger();

    FakeCacheServer() throws IOException {
        super("fake-cache-server");
    }

    @Override
    void accepted() {
        connections.incrementAndGet();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    int connections() {
        return connections.get();
    }

    int commands() {
        return commands.get();
    }

    @Override
    void serve(Socket connection) {
        try (connection) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
            OutputStream out = connection.getOutputStream();
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String[] words = line.split(" ");
                if (words.length < 2 || words[0].equals("abort")) {
                    continue;
                }
                commands.incrementAndGet();
                out.write((words[1] + " ACK tell=HIT " + BODY.length() + "\r\n" + BODY + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
        } catch (IOException e) {
            // closed by the proxy
        }
    }
}
