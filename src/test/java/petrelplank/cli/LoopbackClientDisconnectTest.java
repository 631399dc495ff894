package petrelplank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import petrelplank.fastcgi.FastCgiClient;
import petrelplank.record.Event;
import petrelplank.upstream.FakeServer;

/** A client that closes its connection or cancels its request: nothing is sent upstream for it any more. */
class LoopbackClientDisconnectTest extends LoopbackFixture {
    private static final String DISCONNECTED = "bbbbbbbbbbbbbbbb";

    private final CountDownLatch reached = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);

    /** Blocks the event thread where it records an event of a type, once. */
    private void blockEventThreadAt(Class<? extends Event> type) {
        onRecord = event -> {
            if (type.isInstance(event)) {
                onRecord = next -> {};
                reached.countDown();
                awaitRelease();
            }
        };
    }

    private void awaitRelease() {
        try {
            released.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The I/O thread answers health checks by itself: at the second answer it has read all that was there before. */
    private void awaitReadByIoThread() throws IOException {
        for (int i = 0; i < 2; i++) {
            client.sendRequest(9, "/_health", NO_BODY);
            assertThat(client.readResponse()).startsWith("9 Status: 200");
        }
    }

    private void askOn(FastCgiClient asking, String requestId) throws IOException {
        asking.sendRequest(1, "/invoke/media", NO_BODY, RequestHeaders.of(requestId));
    }

    /** The next upstream request of all is that of a client request which came later. */
    private void assertNothingSentForDisconnected() throws IOException, InterruptedException {
        sendRequest(2, "cccccccccccccccc", "media");
        FakeServer.Line upstreamRequest = cache.awaitLine();
        assertThat(upstreamRequest.word(1)).isEqualTo("cccccccccccccccc");
        upstreamRequest.reply("cccccccccccccccc ACK tell=HIT 3\r\none\r\n");
        assertThat(client.readResponse()).startsWith("2 Status: 200");
    }

    @Test
    void requestOfAClientThatClosedIsNotRouted() throws IOException, InterruptedException {
        blockEventThreadAt(Event.RequestAdmitted.class);
        sendRequest(1, "aaaaaaaaaaaaaaaa", "media");
        reached.await();
        try (FastCgiClient leaving = new FastCgiClient(proxy.address())) {
            askOn(leaving, DISCONNECTED);
        }
        awaitReadByIoThread();
        released.countDown();
        assertThat(cache.awaitLine().word(1)).isEqualTo("aaaaaaaaaaaaaaaa");
        assertNothingSentForDisconnected();
        assertThat(recordedEvents.stream().filter(Event.RequestAdmitted.class::isInstance))
                .hasSize(2);
    }

    @Test
    void attemptOfAClientThatClosedIsNotWritten() throws IOException, InterruptedException {
        blockEventThreadAt(Event.AttemptSent.class);
        try (FastCgiClient leaving = new FastCgiClient(proxy.address())) {
            askOn(leaving, DISCONNECTED);
            reached.await();
        }
        awaitReadByIoThread();
        released.countDown();
        assertNothingSentForDisconnected();
    }

    @Test
    void attemptOfACancelledRequestIsNotWritten() throws IOException, InterruptedException {
        blockEventThreadAt(Event.AttemptSent.class);
        try (FastCgiClient leaving = new FastCgiClient(proxy.address())) {
            askOn(leaving, DISCONNECTED);
            reached.await();
            leaving.abort(1);
            awaitReadByIoThread();
            released.countDown();
            assertNothingSentForDisconnected();
        }
    }

    /** A retry is ordered at the end of the first attempt; its client may disconnect in that very moment. */
    @Test
    void retryOfAClientThatClosedIsNotWritten() throws IOException, InterruptedException {
        try (FastCgiClient leaving = new FastCgiClient(proxy.address())) {
            askOn(leaving, DISCONNECTED);
            FakeServer.Line first = cache.awaitLine();
            blockEventThreadAt(Event.AttemptEnded.class);
            first.reset();
            reached.await();
        }
        awaitReadByIoThread();
        released.countDown();
        assertNothingSentForDisconnected();
        assertThat(parent.hasNoQueuedLines() && origin.hasNoQueuedLines()).isTrue();
    }
}
