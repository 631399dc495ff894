package petrelplank.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import petrelplank.fastcgi.FastCgiClient;
import petrelplank.record.EventSink;
import petrelplank.settings.Configuration;
import petrelplank.upstream.FakeServer;

/** The graceful shutdown of a proxy, on loopback sockets. */
class LoopbackDrainTest extends LoopbackFixture {
    private static final int CLIENTS_BEYOND_BUDGET = SOCKETS * 2 / 5 + 2;

    /** Deadlines differ by site, and SIGKILL comes by the longest: at most 3 s, and 0.7 s more. */
    @Test
    void drainEndsBeforeSigkillForAnyLongestDeadline() throws IOException {
        assertTrue(proxy.drain(() -> {}) <= 3_700);
        Files.writeString(file, Files.readString(file).replace("\"deadline-us\":60000000", "\"deadline-us\":900000"));
        ProxyServer shortDeadlines = new ProxyServer(Configuration.read(file.toFile()), () -> 0, EventSink.NONE);
        assertTrue(shortDeadlines.drain(() -> {}) <= 1_600);
        shortDeadlines.close();
    }

    @Test
    void drainAnswersOpenRequestsAndThenStops() throws IOException, InterruptedException {
        sendRequest(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line upstreamRequest = cache.awaitLine();
        CountDownLatch stopped = new CountDownLatch(1);
        proxy.drain(stopped::countDown);
        sendRequest(2, "bbbbbbbbbbbbbbbb", "media");
        cache.awaitLine();
        upstreamRequest.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\nbbbbbbbbbbbbbbbb ACK tell=HIT 3\r\ntwo\r\n");
        assertTrue(client.readResponse().startsWith("1 Status: 200"));
        assertTrue(client.readResponse().startsWith("2 Status: 200"));
        stopped.await();
    }

    /** Half of it had arrived at SIGTERM, the rest comes while requests are still accepted: it is served. */
    @Test
    void requestThatIsHalfReadAsTheDrainStartsIsServed() throws IOException, InterruptedException {
        client.sendRequestStart(1, "/invoke/media", NO_BODY, RequestHeaders.of("aaaaaaaaaaaaaaaa"));
        CountDownLatch stopped = new CountDownLatch(1);
        proxy.drain(stopped::countDown);
        client.sendRequestEnd(1);
        cache.awaitLine().reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertTrue(client.readResponse().startsWith("1 Status: 200"));
        assertEquals("closed", client.readResponse());
        stopped.await();
    }

    /** The drain's last response is final: the attempt is aborted, and neither silence nor a reset leads to a retry. */
    @Test
    void requestThatTheDrainFailsIsAbortedAndNotRetried() throws IOException, InterruptedException {
        sendRequest(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line upstreamRequest = cache.awaitLine();
        CountDownLatch stopped = new CountDownLatch(1);
        proxy.drain(stopped::countDown);
        clock.advance(3_600_000);
        String answer = client.readResponse();
        assertTrue(answer.startsWith("1 Status: 504"), answer);
        assertEquals("abort aaaaaaaaaaaaaaaa", cache.awaitLine().text());
        upstreamRequest.reset();
        stopped.await();
        assertTrue(parent.hasNoQueuedLines() && origin.hasNoQueuedLines() && cache.hasNoQueuedLines());
    }

    /** Guards against a drain that closes the listening socket, and resets the connections that wait to be accepted. */
    @Test
    void connectionThatWaitsAsTheDrainStopsListeningIsAnswered() throws IOException, InterruptedException {
        InetSocketAddress address = proxy.address();
        List<FastCgiClient> clients = new ArrayList<>();
        clock.holdIoThread();
        try (LogLines log = new LogLines(Shutdown.class)) {
            for (int i = 0; i < CLIENTS_BEYOND_BUDGET; i++) {
                clients.add(new FastCgiClient(address));
                clients.get(i).sendRequest(1, "/_health", NO_BODY);
            }
            proxy.drain(() -> {});
            log.await("SIGTERM: draining");
            clock.advance(700_000);
            while (log.isEmpty() && isListening(address)) {
                Thread.sleep(1);
            }
        } finally {
            clock.releaseIoThread();
        }
        for (FastCgiClient waiting : clients) {
            assertTrue(waiting.readResponse().startsWith("1 Status: 503"));
            waiting.close();
        }
    }

    private static boolean isListening(InetSocketAddress address) throws IOException {
        try (Socket probe = new Socket(address.getAddress(), address.getPort())) {
            return probe.isConnected();
        } catch (ConnectException e) {
            return false;
        }
    }
}
