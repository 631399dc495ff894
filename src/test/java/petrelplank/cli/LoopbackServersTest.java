package petrelplank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import petrelplank.upstream.FakeServer;

/** Upstream servers that fail in the middle of a connection or of a response, on loopback sockets. */
class LoopbackServersTest extends LoopbackFixture {
    private static final String READ = "aaaaaaaaaaaaaaaa";
    private static final String WRITE = "bbbbbbbbbbbbbbbb";

    /** Resets each connection right after its accept, with nothing read. */
    private static final class ResettingServer implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));

        ResettingServer() throws IOException {
            Thread accepting = new Thread(this::accept);
            accepting.setDaemon(true);
            accepting.start();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
            } catch (IOException e) {
                // closed: the test is over
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    private void moveEndpoint(String id, String zone, String kind, ResettingServer target)
            throws IOException, InterruptedException {
        String active = endpointJson(id, cache, zone, kind, "active");
        sendDiscoveryEvent("{\"index\":2,\"endpoints\":{\"reset\":false,\"instances\":["
                + active.replace(cache.address(), "127.0.0.1:" + target.listener.getLocalPort()) + "]}}");
    }

    private void assertServedBy(FakeServer server, String request) throws IOException, InterruptedException {
        FakeServer.Line fetch = server.awaitLine();
        assertThat(fetch.word(1)).isEqualTo(request);
        fetch.reply(request + " ACK tell=HIT 3\r\none\r\n");
        assertThat(client.readResponse()).startsWith("1 Status: 200").endsWith("one");
    }

    @Test
    void readIsRetriedWhereItsCacheResetsAfterAccept() throws IOException, InterruptedException {
        try (ResettingServer server = new ResettingServer()) {
            moveEndpoint("c-1", "edge-1", "box", server);
            sendRequest(1, READ, "media");
            assertServedBy(parent, READ);
        }
    }

    /** A response that ends after its header is none; the read is retried. */
    @Test
    void readIsRetriedWhereItsResponseEndsAfterTheHeader() throws IOException, InterruptedException {
        sendRequest(1, READ, "media");
        FakeServer.Line truncated = cache.awaitLine();
        truncated.reply(READ + " ACK tell=HIT 3\r\n");
        truncated.socket().close();
        assertServedBy(parent, READ);
    }

    /** A write that is not idempotent may have been executed, also where its response is truncated: no retry. */
    @Test
    void nonIdempotentWriteIsNotRetriedWhereItsResponseIsTruncated() throws IOException, InterruptedException {
        sendRequest(1, WRITE, "stock-move");
        FakeServer.Line first = origin.awaitLine();
        assertThat(first.word(1)).isEqualTo(WRITE);
        assertThat(origin.awaitLine().text()).isEqualTo("move");
        first.reply(WRITE + " ACK tell=HIT 3\r\n");
        first.socket().close();
        assertThat(client.readResponse()).startsWith("1 Status: 504");
        assertThat(cache.hasNoQueuedLines() && parent.hasNoQueuedLines() && origin.hasNoQueuedLines())
                .isTrue();
    }

    /** A second response some time after the first is discarded, and the connection stays in use. */
    @Test
    void duplicateResponseIsDiscarded() throws IOException, InterruptedException {
        sendRequest(1, READ, "media");
        FakeServer.Line fetch = cache.awaitLine();
        String response = READ + " ACK tell=HIT 3\r\none\r\n";
        fetch.reply(response);
        assertThat(client.readResponse()).startsWith("1 Status: 200");
        fetch.reply(response);
        sendRequest(2, "cccccccccccccccc", "media");
        FakeServer.Line next = cache.awaitLine();
        assertThat(next.socket()).isSameAs(fetch.socket());
        next.reply("cccccccccccccccc ACK tell=HIT 3\r\ntwo\r\n");
        assertThat(client.readResponse()).startsWith("2 Status: 200").endsWith("two");
    }
}
