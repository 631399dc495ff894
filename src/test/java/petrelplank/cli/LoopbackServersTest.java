package petrelplank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import petrelplank.upstream.FakeServer;

/** Cache nodes that end in the middle of a connection or of an answer, on loopback sockets. */
class LoopbackServersTest extends LoopbackFixture {
    private static final String READ = "aaaaaaaaaaaaaaaa";
    private static final String WRITE = "bbbbbbbbbbbbbbbb";

    /** Resets each connection right behind its accept, with nothing read. */
    private static final class DiesBehindAccept implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));

        DiesBehindAccept() throws IOException {
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

    private void tell(String id, String zone, String kind, DiesBehindAccept at)
            throws IOException, InterruptedException {
        String active = endpointJson(id, cache, zone, kind, "active");
        sendDiscoveryEvent("{\"index\":2,\"endpoints\":{\"reset\":false,\"instances\":["
                + active.replace(cache.address(), "127.0.0.1:" + at.listener.getLocalPort()) + "]}}");
    }

    private void answerIsServed(FakeServer by, String request) throws IOException, InterruptedException {
        FakeServer.Line fetch = by.next();
        assertThat(fetch.word(1)).isEqualTo(request);
        fetch.reply(request + " ACK tell=HIT 3\r\none\r\n");
        assertThat(client.answer()).startsWith("1 Status: 200").endsWith("one");
    }

    @Test
    void readGoesOnWhereItsCacheDiesBehindAccept() throws IOException, InterruptedException {
        try (DiesBehindAccept dying = new DiesBehindAccept()) {
            tell("c-1", "edge-1", "box", dying);
            ask(1, READ, "media");
            answerIsServed(parent, READ);
        }
    }

    /** An answer that is cut behind its header is none; the read is sent again. */
    @Test
    void readIsSentAgainWhereItsAnswerIsCutBehindTheHeader() throws IOException, InterruptedException {
        ask(1, READ, "media");
        FakeServer.Line cut = cache.next();
        cut.reply(READ + " ACK tell=HIT 3\r\n");
        cut.socket().close();
        answerIsServed(parent, READ);
    }

    /** A single-shot write whose command came whole may have run, also where its answer is cut: it is not sent again. */
    @Test
    void singleShotIsNotSentAgainWhereItsAnswerIsCut() throws IOException, InterruptedException {
        ask(1, WRITE, "stock-move");
        FakeServer.Line first = origin.next();
        assertThat(first.word(1)).isEqualTo(WRITE);
        assertThat(origin.next().text()).isEqualTo("move");
        first.reply(WRITE + " ACK tell=HIT 3\r\n");
        first.socket().close();
        assertThat(client.answer()).startsWith("1 Status: 504");
        assertThat(cache.quiet() && parent.quiet() && origin.quiet()).isTrue();
    }

    /** A second answer some time after the first reaches nobody, on a connection that goes on. */
    @Test
    void doubledAnswerReachesNobody() throws IOException, InterruptedException {
        ask(1, READ, "media");
        FakeServer.Line fetch = cache.next();
        String answer = READ + " ACK tell=HIT 3\r\none\r\n";
        fetch.reply(answer);
        assertThat(client.answer()).startsWith("1 Status: 200");
        fetch.reply(answer);
        ask(2, "cccccccccccccccc", "media");
        FakeServer.Line next = cache.next();
        assertThat(next.socket()).isSameAs(fetch.socket());
        next.reply("cccccccccccccccc ACK tell=HIT 3\r\ntwo\r\n");
        assertThat(client.answer()).startsWith("2 Status: 200").endsWith("two");
    }
}
