package petrelplank.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A discovery service for tests: reads {@code follow N}, sends the complete endpoint list as event 1 where N is below
 * 1, and then the number of the last event each second as a heartbeat. Counts the calls served and the open streams.
 */
final class FakeDiscoveryService extends FakeTcpServer {
    private static final String FOLLOW = "follow ";
    private static final byte[] HEARTBEAT = "1\n".getBytes(StandardCharsets.US_ASCII);
    private static final int HEARTBEAT_MS = 1_000;

    private final String list;
    private final AtomicInteger calls = new AtomicInteger();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    /** @param instances the JSON array of the list's endpoints */
    FakeDiscoveryService(String instances) throws IOException {
        super("fake-discovery-service");
        list = "{\"index\":1,\"endpoints\":{\"reset\":false,\"instances\":" + instances + "}}\n";
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", port());
    }

    /** Calls that arrived with a complete {@code follow} line. */
    int calls() {
        return calls.get();
    }

    /** Streams that are open now. */
    int open() {
        return open.size();
    }

    @Override
    void serve(Socket connection) {
        try (connection) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
            String follow = in.readLine();
            if (follow == null || !follow.startsWith(FOLLOW)) {
                return;
            }
            calls.incrementAndGet();
            open.add(connection);
            OutputStream out = connection.getOutputStream();
            if (lastEventOf(follow) < 1) {
                out.write(list.getBytes(StandardCharsets.US_ASCII));
            }
            while (!closed) {
                out.write(HEARTBEAT);
                out.flush();
                Thread.sleep(HEARTBEAT_MS);
            }
        } catch (IOException e) {
            // closed by the proxy, or by a relay between
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(connection);
        }
    }

    /** The number of the last event that the proxy has. */
    private static long lastEventOf(String follow) {
        return Long.parseLong(follow.substring(FOLLOW.length()).trim());
    }
}
