package petrelplank.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import petrelplank.fastcgi.FastCgiClient;
import petrelplank.settings.Configuration;
import petrelplank.upstream.FakeServer;

/** When a proxy says ready and routes its first requests, by what the discovery service sent, on loopback sockets. */
class LoopbackReadinessTest extends LoopbackFixture {
    /**
     * A restarted proxy's {@code known} may lack a drain or a purge that was sent meanwhile: health says ready only once
     * the discovery service's heartbeat shows that nothing is missing. The proxy's clock runs a hundred times slower
     * here, so that its longest wait for the heartbeat does not end within the test.
     */
    @Test
    void notReadyBeforeTheFirstHeartbeat() throws IOException, InterruptedException {
        withSilentDiscoveryService(100, (webServer, stream) -> {
            long untilNs = System.nanoTime() + 3_000_000_000L;
            while (System.nanoTime() < untilNs) {
                webServer.sendRequest(1, "/_health", NO_BODY);
                assertTrue(webServer.readResponse().startsWith("1 Status: 503"), "ready before the heartbeat");
                Thread.sleep(50);
            }
            stream.reply("1\n");
            assertTrue(readyWithin(webServer, 10_000) >= 0);
        });
    }

    /** A discovery service without heartbeats must not keep a proxy from starting: ready after 2.5 s of its clock. */
    @Test
    void readyWithoutAHeartbeatAfterTheLongestWait() throws IOException, InterruptedException {
        long fromNs = System.nanoTime();
        withSilentDiscoveryService(1, (webServer, stream) -> {
            assertTrue(readyWithin(webServer, 20_000) >= 0, "never ready");
            assertTrue(System.nanoTime() - fromNs >= 2_500_000_000L, "ready before the longest wait");
        });
    }

    /** Clients that have not noticed a restart send requests before it is ready: none is routed by an outdated list. */
    @Test
    void requestsWaitForTheFirstDiscoveryEvent() throws IOException, InterruptedException {
        withSilentDiscoveryService(100, (webServer, stream) -> {
            webServer.sendRequest(1, "/invoke/media", NO_BODY, RequestHeaders.of("aaaaaaaaaaaaaaaa"));
            webServer.sendRequest(2, "/_health", NO_BODY);
            assertTrue(webServer.readResponse().startsWith("2 Status: 503"));
            stream.reply("{\"index\":2,\"endpoints\":{\"reset\":false,\"instances\":["
                    + endpointJson("c-1", cache, "edge-1", "box", "leaving") + "]}}\n");
            FakeServer.Line sent = parent.awaitLine();
            assertEquals("aaaaaaaaaaaaaaaa", sent.word(1));
            assertTrue(cache.hasNoQueuedLines(), "sent to a cache that drains");
            sent.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
            assertTrue(webServer.readResponse().endsWith("one"));
        });
    }

    private interface Scenario {
        void run(FastCgiClient webServer, FakeServer.Line stream) throws IOException, InterruptedException;
    }

    /** A second proxy whose discovery service accepts and sends nothing; its clock runs {@code slower} times slower. */
    private void withSilentDiscoveryService(long slower, Scenario scenario) throws IOException, InterruptedException {
        try (FakeServer silent = new FakeServer()) {
            Files.writeString(file, Files.readString(file).replace(discoveryService.address(), silent.address()));
            long fromUs = Instant.now().toEpochMilli() * 1000;
            long startNs = System.nanoTime();
            ProxyServer second = new ProxyServer(
                    Configuration.read(file.toFile()),
                    () -> fromUs + (System.nanoTime() - startNs) / 1000 / slower,
                    (unixUs, event) -> {});
            second.open(new InetSocketAddress("127.0.0.1", 0));
            Thread thread = new Thread(second::run);
            thread.start();
            try (FastCgiClient webServer = new FastCgiClient(second.address())) {
                FakeServer.Line stream = silent.awaitLine();
                assertEquals("follow 1", stream.text());
                scenario.run(webServer, stream);
            } finally {
                second.close();
                thread.join();
            }
        }
    }

    /** Milliseconds until health says 200, at most {@code timeoutMs}; -1 where it never did. */
    private static long readyWithin(FastCgiClient webServer, long timeoutMs) throws IOException, InterruptedException {
        long fromNs = System.nanoTime();
        while (System.nanoTime() - fromNs < timeoutMs * 1_000_000) {
            webServer.sendRequest(3, "/_health", NO_BODY);
            if (webServer.readResponse().startsWith("3 Status: 200")) {
                return (System.nanoTime() - fromNs) / 1_000_000;
            }
            Thread.sleep(20);
        }
        return -1;
    }
}
