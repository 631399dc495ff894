package petrelplank.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import petrelplank.fastcgi.FcgiClient;
import petrelplank.settings.Configuration;
import petrelplank.upstream.FakeServer;

/** Readiness, and what endpoint lists and breaks of the discovery stream do to requests, on loopback sockets. */
class LoopbackEndpointListTest extends LoopbackFixture {
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
                webServer.ask(1, "/_health", NOTHING);
                assertTrue(webServer.answer().startsWith("1 Status: 503"), "ready before the heartbeat");
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
            webServer.ask(1, "/invoke/media", NOTHING, headers("aaaaaaaaaaaaaaaa"));
            webServer.ask(2, "/_health", NOTHING);
            assertTrue(webServer.answer().startsWith("2 Status: 503"));
            stream.reply("{\"index\":2,\"endpoints\":{\"reset\":false,\"instances\":["
                    + entry("c-1", cache, "edge-1", "box", "leaving") + "]}}\n");
            FakeServer.Line sent = parent.next();
            assertEquals("aaaaaaaaaaaaaaaa", sent.word(1));
            assertTrue(cache.quiet(), "sent to a cache that drains");
            sent.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
            assertTrue(webServer.answer().endsWith("one"));
        });
    }

    private interface Scenario {
        void run(FcgiClient webServer, FakeServer.Line stream) throws IOException, InterruptedException;
    }

    /** A second proxy whose discovery service accepts and sends nothing; its clock runs {@code slower} times slower. */
    private void withSilentDiscoveryService(long slower, Scenario scenario) throws IOException, InterruptedException {
        try (FakeServer silent = new FakeServer()) {
            Files.writeString(file, Files.readString(file).replace(coordinator.address(), silent.address()));
            long fromUs = Instant.now().toEpochMilli() * 1000;
            long startNs = System.nanoTime();
            ProxyServer second = new ProxyServer(
                    Configuration.read(file.toFile()),
                    () -> fromUs + (System.nanoTime() - startNs) / 1000 / slower,
                    (unixUs, event) -> {});
            second.open(new InetSocketAddress("127.0.0.1", 0));
            Thread thread = new Thread(second::run);
            thread.start();
            try (FcgiClient webServer = new FcgiClient(second.address())) {
                FakeServer.Line stream = silent.next();
                assertEquals("follow 1", stream.text());
                scenario.run(webServer, stream);
            } finally {
                second.close();
                thread.join();
            }
        }
    }

    /** Milliseconds until health says 200, at most {@code timeoutMs}; -1 where it never did. */
    private static long readyWithin(FcgiClient webServer, long timeoutMs) throws IOException, InterruptedException {
        long fromNs = System.nanoTime();
        while (System.nanoTime() - fromNs < timeoutMs * 1_000_000) {
            webServer.ask(3, "/_health", NOTHING);
            if (webServer.answer().startsWith("3 Status: 200")) {
                return (System.nanoTime() - fromNs) / 1_000_000;
            }
            Thread.sleep(20);
        }
        return -1;
    }

    /** Its connection would stay open for good if the cache were silent. */
    @Test
    void requestIsCancelledAtACacheThatHasLeftTheListMeanwhile() throws IOException, InterruptedException {
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line fetch = cache.next();
        coordinatorTells("{\"index\":2,\"endpoints\":{\"reset\":false,\"instances\":["
                + entry("c-1", cache, "edge-1", "box", "left") + "]}}");
        client.abort(1);
        assertTrue(cache.ended() == fetch.socket());
    }

    /** A new cache may have the address of a removed one: its requests are sent on connections of its own. */
    @Test
    void newCacheAtAnOldAddressGetsItsOwnConnection() throws IOException, InterruptedException {
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line first = cache.next();
        first.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        client.answer();
        coordinatorTells("{\"index\":2,\"endpoints\":{\"reset\":false,\"instances\":["
                + entry("c-1", cache, "edge-1", "box", "left") + "," + entry("c-2", cache, "edge-1", "box", "active")
                + "]}}");
        ask(2, "bbbbbbbbbbbbbbbb", "media");
        FakeServer.Line second = cache.next();
        assertTrue(second.socket() != first.socket());
        second.reply("bbbbbbbbbbbbbbbb ACK tell=HIT 3\r\ntwo\r\n");
        assertTrue(client.answer().endsWith("two"));
    }

    /** An event that was left out may be a drain or a purge. */
    @Test
    void gapInTheEventNumbersIsRequestedAgainOnce() throws IOException, InterruptedException {
        follow.reply("{\"index\":4,\"evict\":{\"shard\":1,\"unix_ms\":1}}\n");
        FakeServer.Line again = coordinator.next();
        assertEquals("follow 1", again.text());
        again.reply("{\"index\":2,\"evict\":{\"shard\":1,\"unix_ms\":1}}\n"
                + "{\"index\":2,\"evict\":{\"shard\":1,\"unix_ms\":1}}\n{\"index\":3,\"evi");
        again.socket().close();
        FakeServer.Line third = coordinator.next();
        assertEquals("follow 2", third.text());
        third.reply("{\"index\":5,\"evict\":{\"shard\":1,\"unix_ms\":1}}\n");
        FakeServer.Line fourth = coordinator.next();
        assertEquals("follow 2", fourth.text());
        fourth.reply("{\"index\":5,\"evict\":{\"shard\":1,\"unix_ms\":1}}\n");
        fourth.socket().shutdownOutput();
        assertEquals("follow 5", coordinator.next().text());
    }

    @Test
    void reloadMovesTheDiscoveryClientAndKeepsOpenRequests() throws IOException, InterruptedException {
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line fetch = cache.next();
        try (FakeServer next = new FakeServer()) {
            String old = Files.readString(file);
            Files.writeString(file, "{\"coordinator\":");
            ServeCommand.reload(front, file.toFile());
            coordinatorTells("{\"index\":2,\"evict\":{\"shard\":17,\"unix_ms\":1}}");
            Files.writeString(file, old.replace(coordinator.address(), next.address()));
            ServeCommand.reload(front, file.toFile());
            assertEquals("follow 2", next.next().text());
        }
        fetch.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertTrue(client.answer().endsWith("one"));
        assertTrue(coordinator.quiet());
    }

    /**
     * A discovery service that resets every stream at once: the proxy reconnects later each time, not every 200 ms in
     * step with all proxies. The shortest delays of five reconnects add up to 2.5 s.
     */
    @Test
    void reconnectsBackOffWhileEveryStreamIsReset() throws IOException, InterruptedException {
        follow.reset();
        long firstNs = System.nanoTime();
        for (int reconnect = 0; reconnect < 5; reconnect++) {
            FakeServer.Line again = coordinator.next();
            assertEquals("follow 1", again.text());
            again.reset();
        }
        assertTrue(System.nanoTime() - firstNs >= 2_500_000_000L);
        client.ask(2, "/_health", NOTHING);
        assertTrue(client.answer().startsWith("2 Status: 200"));
    }

    /** Late list changes in one burst: two replacements at one address within one write, with a request open. */
    @Test
    void burstOfReplacementsAtOneAddressKeepsTheOpenRequestAndUsesTheLast() throws IOException, InterruptedException {
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line open = cache.next();
        StringBuilder burst = new StringBuilder();
        for (int i = 1; i <= 2; i++) {
            burst.append("{\"index\":")
                    .append(i + 1)
                    .append(",\"endpoints\":{\"reset\":false,\"instances\":[")
                    .append(entry("c-" + i, cache, "edge-1", "box", "left"))
                    .append(",")
                    .append(entry("c-" + (i + 1), cache, "edge-1", "box", "active"))
                    .append("]}}\n");
        }
        follow.reply(burst + "{\"index\":4,\"endpoints\":{\"reset\":false,\"instances\":["
                + entry("nobody", cache, "edge-1", "box", "left") + "]}}\n");
        follow.socket().shutdownOutput();
        assertEquals("follow 4", coordinator.next().text());
        ask(2, "bbbbbbbbbbbbbbbb", "media");
        FakeServer.Line second = cache.next();
        assertTrue(second.socket() != open.socket());
        second.reply("bbbbbbbbbbbbbbbb ACK tell=HIT 3\r\ntwo\r\n");
        assertTrue(client.answer().endsWith("two"));
        open.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertTrue(client.answer().endsWith("one"));
    }

    /**
     * A list change counts as delivered after 7 s, whether it arrived or not: a stream that falls silent is detected,
     * reconnected and caught up well inside that, and what was missed meanwhile binds the next attempt.
     */
    @Test
    void silentStreamIsReconnectedAndCaughtUpWithinTheDeliveryDeadline() throws IOException, InterruptedException {
        long fromNs = System.nanoTime();
        laterUs.addAndGet(2_600_000);
        FakeServer.Line again = coordinator.next();
        assertEquals("follow 1", again.text());
        again.reply("{\"index\":2,\"endpoints\":{\"reset\":false,\"instances\":["
                + entry("c-1", cache, "edge-1", "box", "leaving") + "]}}\n2\n");
        again.socket().shutdownOutput();
        assertEquals("follow 2", coordinator.next().text());
        assertTrue(2_600 + (System.nanoTime() - fromNs) / 1_000_000 < 7_000, "too late");
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        assertEquals("aaaaaaaaaaaaaaaa", parent.next().word(1));
        assertTrue(cache.quiet(), "sent to a cache that drains");
    }
}
