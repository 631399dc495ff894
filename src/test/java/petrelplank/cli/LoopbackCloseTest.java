package petrelplank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import petrelplank.fastcgi.FastCgiClient;
import petrelplank.upstream.FakeServer;

/** Client connections that the proxy closes: pending responses on them are complete, and reach the client. */
class LoopbackCloseTest extends LoopbackFixture {
    private static final byte[] MALFORMED_INPUT = new byte[100_000];

    /** Whatever follows a request on its connection does not prevent the request's response. */
    @Test
    void requestBeforeMalformedInputIsAnswered() throws IOException, InterruptedException {
        sendRequest(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line upstreamRequest = cache.awaitLine();
        client.sendBytes(MALFORMED_INPUT);
        try (FastCgiClient other = new FastCgiClient(proxy.address())) {
            other.sendRequest(1, "/_health", NO_BODY);
            assertThat(other.readResponse()).startsWith("1 Status: 200");
        }
        upstreamRequest.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertThat(client.readResponse()).startsWith("1 Status: 200").endsWith("one");
        assertThat(client.readResponse()).isEqualTo("closed");
    }

    /** A client that wants its connection closed after one response still gets the other pending ones. */
    @Test
    void connectionIsClosedAfterItsLastPendingResponse() throws IOException, InterruptedException {
        sendRequest(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line upstreamRequest = cache.awaitLine();
        client.sendRequestWithoutKeepConnection(2, "/_health");
        assertThat(client.readResponse()).startsWith("2 Status: 200");
        upstreamRequest.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertThat(client.readResponse()).startsWith("1 Status: 200").endsWith("one");
        assertThat(client.readResponse()).isEqualTo("closed");
    }

    /** A request that is read after the drain has found everything answered is rejected, and never sent upstream. */
    @Test
    void requestReadAsTheDrainEndsIsRejected() throws IOException, InterruptedException {
        Logger log = Logger.getLogger(Shutdown.class.getName());
        CountDownLatch stopped = new CountDownLatch(1);
        CountDownLatch requestRead = new CountDownLatch(1);
        Handler askingAtTheEnd = new Handler() {
            @Override
            public void publish(LogRecord line) {
                if (line.getMessage().startsWith("stopped: ")) {
                    askAndAwaitReadByIoThread();
                    requestRead.countDown();
                }
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
        log.addHandler(askingAtTheEnd);
        try {
            proxy.drain(stopped::countDown);
            requestRead.await();
            String answer = client.readResponse();
            assertThat(answer).startsWith("1 Status: 503").contains("Retry-After-Ms");
            stopped.await();
            assertThat(cache.hasNoQueuedLines() && parent.hasNoQueuedLines() && origin.hasNoQueuedLines())
                    .isTrue();
        } finally {
            log.removeHandler(askingAtTheEnd);
        }
    }

    /** The event thread is blocked meanwhile; the I/O thread answers health checks by itself, in the order it reads. */
    private void askAndAwaitReadByIoThread() {
        try {
            sendRequest(1, "aaaaaaaaaaaaaaaa", "media");
            client.sendRequest(2, "/_health", NO_BODY);
            assertThat(client.readResponse()).startsWith("2 Status: 503");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
