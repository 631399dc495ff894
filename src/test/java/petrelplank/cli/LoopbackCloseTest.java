package petrelplank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import petrelplank.fastcgi.FcgiClient;
import petrelplank.upstream.FakeServer;

/** Connections of clients that the front closes: what is owed on them is answered whole, and read by the client. */
class LoopbackCloseTest extends LoopbackFixture {
    private static final byte[] JUNK = new byte[100_000];

    /** What comes behind a request on its connection, whatever it is, does not take the request's answer along. */
    @Test
    void requestBeforeJunkIsAnswered() throws IOException, InterruptedException {
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line fetch = cache.next();
        client.raw(JUNK);
        try (FcgiClient other = new FcgiClient(proxy.address())) {
            other.ask(1, "/_health", NO_BODY);
            assertThat(other.answer()).startsWith("1 Status: 200");
        }
        fetch.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertThat(client.answer()).startsWith("1 Status: 200").endsWith("one");
        assertThat(client.answer()).isEqualTo("closed");
    }

    /** A client that wants its connection closed behind one answer still gets the others that it asked for. */
    @Test
    void connectionIsClosedBehindTheLastAnswerThatIsOwed() throws IOException, InterruptedException {
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line fetch = cache.next();
        client.askLast(2, "/_health");
        assertThat(client.answer()).startsWith("2 Status: 200");
        fetch.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertThat(client.answer()).startsWith("1 Status: 200").endsWith("one");
        assertThat(client.answer()).isEqualTo("closed");
    }

    /** A request that is read after the drain has found everything answered is refused, and never sent on. */
    @Test
    void requestReadAsTheDrainEndsIsRefused() throws IOException, InterruptedException {
        Logger log = Logger.getLogger(ProxyServer.class.getName());
        CountDownLatch ended = new CountDownLatch(1);
        CountDownLatch crossed = new CountDownLatch(1);
        Handler crossing = new Handler() {
            @Override
            public void publish(LogRecord line) {
                if (line.getMessage().startsWith("ended: ")) {
                    askAndSeeItRead();
                    crossed.countDown();
                }
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
        log.addHandler(crossing);
        try {
            proxy.drain(ended::countDown);
            crossed.await();
            String answer = client.answer();
            assertThat(answer).startsWith("1 Status: 503").contains("Retry-After-Ms");
            ended.await();
            assertThat(cache.quiet() && parent.quiet() && origin.quiet()).isTrue();
        } finally {
            log.removeHandler(crossing);
        }
    }

    /** The event thread is held meanwhile; the I/O thread answers health by itself, in the order of what it reads. */
    private void askAndSeeItRead() {
        try {
            ask(1, "aaaaaaaaaaaaaaaa", "media");
            client.ask(2, "/_health", NO_BODY);
            assertThat(client.answer()).startsWith("2 Status: 503");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
