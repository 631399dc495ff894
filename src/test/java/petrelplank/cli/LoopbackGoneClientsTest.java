package petrelplank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import petrelplank.fastcgi.FcgiClient;
import petrelplank.record.Event;
import petrelplank.upstream.FakeServer;

/** A client that closes its connection or cancels its request has gone: nothing is sent for it any more. */
class LoopbackGoneClientsTest extends LoopbackFixture {
    private static final String REMOVED = "bbbbbbbbbbbbbbbb";

    private final CountDownLatch reached = new CountDownLatch(1);
    private final CountDownLatch goOn = new CountDownLatch(1);

    /** Holds the event thread where it records an event of a kind, once. */
    private void holdAt(Class<? extends Event> kind) {
        onRecord = event -> {
            if (kind.isInstance(event)) {
                onRecord = next -> {};
                reached.countDown();
                awaitGoOn();
            }
        };
    }

    private void awaitGoOn() {
        try {
            goOn.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Health is answered by the I/O thread alone: at the second answer it has read all that was there before. */
    private void ioThreadHasRead() throws IOException {
        for (int i = 0; i < 2; i++) {
            client.ask(9, "/_health", NO_BODY);
            assertThat(client.answer()).startsWith("9 Status: 200");
        }
    }

    private void askOn(FcgiClient asking, String request) throws IOException {
        asking.ask(1, "/invoke/media", NO_BODY, RequestHeaders.of(request));
    }

    /** The next command of all is that of a request which came later. */
    private void nothingWasSentForIt() throws IOException, InterruptedException {
        ask(2, "cccccccccccccccc", "media");
        FakeServer.Line fetch = cache.next();
        assertThat(fetch.word(1)).isEqualTo("cccccccccccccccc");
        fetch.reply("cccccccccccccccc ACK tell=HIT 3\r\none\r\n");
        assertThat(client.answer()).startsWith("2 Status: 200");
    }

    @Test
    void requestOfAClientThatClosedIsNotRouted() throws IOException, InterruptedException {
        holdAt(Event.RequestAdmitted.class);
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        reached.await();
        try (FcgiClient gone = new FcgiClient(proxy.address())) {
            askOn(gone, REMOVED);
        }
        ioThreadHasRead();
        goOn.countDown();
        assertThat(cache.next().word(1)).isEqualTo("aaaaaaaaaaaaaaaa");
        nothingWasSentForIt();
        assertThat(recordedEvents.stream().filter(Event.RequestAdmitted.class::isInstance))
                .hasSize(2);
    }

    @Test
    void attemptOfAClientThatClosedIsNotWritten() throws IOException, InterruptedException {
        holdAt(Event.AttemptSent.class);
        try (FcgiClient gone = new FcgiClient(proxy.address())) {
            askOn(gone, REMOVED);
            reached.await();
        }
        ioThreadHasRead();
        goOn.countDown();
        nothingWasSentForIt();
    }

    @Test
    void attemptOfACancelledRequestIsNotWritten() throws IOException, InterruptedException {
        holdAt(Event.AttemptSent.class);
        try (FcgiClient gone = new FcgiClient(proxy.address())) {
            askOn(gone, REMOVED);
            reached.await();
            gone.abort(1);
            ioThreadHasRead();
            goOn.countDown();
            nothingWasSentForIt();
        }
    }

    /** A retry is ordered by the end of the first attempt; its client may have left in that very moment. */
    @Test
    void retryOfAClientThatClosedIsNotWritten() throws IOException, InterruptedException {
        try (FcgiClient gone = new FcgiClient(proxy.address())) {
            askOn(gone, REMOVED);
            FakeServer.Line first = cache.next();
            holdAt(Event.AttemptEnded.class);
            first.reset();
            reached.await();
        }
        ioThreadHasRead();
        goOn.countDown();
        nothingWasSentForIt();
        assertThat(parent.quiet() && origin.quiet()).isTrue();
    }
}
