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

/** What a front does by what its coordinator says, on loopback sockets. */
class LoopbackListTest extends LoopbackFixture {
    /**
     * A restarted front's {@code known} may lack a drain or a purge that the coordinator told meanwhile: health says
     * ready only once the coordinator's beat shows that nothing is missing. The front's clock runs a hundred times
     * slower here, so that its longest wait for the beat does not end within the test.
     */
    @Test
    void notReadyUntilTheCoordinatorHasBeaten() throws IOException, InterruptedException {
        withSilentCoordinator(100, (asker, followed) -> {
            long untilNs = System.nanoTime() + 3_000_000_000L;
            while (System.nanoTime() < untilNs) {
                asker.ask(1, "/_health", NO_BODY);
                assertTrue(asker.answer().startsWith("1 Status: 503"), "ready before the beat");
                Thread.sleep(50);
            }
            followed.reply("1\n");
            assertTrue(readyWithin(asker, 10_000) >= 0);
        });
    }

    /** A coordinator that never beats must not keep a front from starting: it is ready after 2.5 s of its clock. */
    @Test
    void readyWithoutABeatAfterTheLongestWait() throws IOException, InterruptedException {
        long fromNs = System.nanoTime();
        withSilentCoordinator(1, (asker, followed) -> {
            assertTrue(readyWithin(asker, 20_000) >= 0, "never ready");
            assertTrue(System.nanoTime() - fromNs >= 2_500_000_000L, "ready before the longest wait");
        });
    }

    /** Clients that have not noticed a restart ask before it is ready: nothing goes out by a list that may be old. */
    @Test
    void requestsWaitUntilTheCoordinatorIsHeard() throws IOException, InterruptedException {
        withSilentCoordinator(100, (asker, followed) -> {
            asker.ask(1, "/invoke/media", NO_BODY, RequestHeaders.of("aaaaaaaaaaaaaaaa"));
            asker.ask(2, "/_health", NO_BODY);
            assertTrue(asker.answer().startsWith("2 Status: 503"));
            followed.reply("{\"index\":2,\"endpoints\":{\"reset\":false,\"instances\":["
                    + endpointJson("c-1", cache, "edge-1", "box", "leaving") + "]}}\n");
            FakeServer.Line sent = parent.next();
            assertEquals("aaaaaaaaaaaaaaaa", sent.word(1));
            assertTrue(cache.quiet(), "sent to a cache that drains");
            sent.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
            assertTrue(asker.answer().endsWith("one"));
        });
    }

    private interface Look {
        void at(FcgiClient asker, FakeServer.Line followed) throws IOException, InterruptedException;
    }

    /** A second front whose coordinator takes its call and says nothing; its clock runs {@code slower} times slower. */
    private void withSilentCoordinator(long slower, Look look) throws IOException, InterruptedException {
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
            try (FcgiClient asker = new FcgiClient(second.address())) {
                FakeServer.Line followed = silent.next();
                assertEquals("follow 1", followed.text());
                look.at(asker, followed);
            } finally {
                second.close();
                thread.join();
            }
        }
    }

    /** Milliseconds until health says 200, at most {@code mostMs}; -1 where it never did. */
    private static long readyWithin(FcgiClient asker, long mostMs) throws IOException, InterruptedException {
        long fromNs = System.nanoTime();
        while (System.nanoTime() - fromNs < mostMs * 1_000_000) {
            asker.ask(3, "/_health", NO_BODY);
            if (asker.answer().startsWith("3 Status: 200")) {
                return (System.nanoTime() - fromNs) / 1_000_000;
            }
            Thread.sleep(20);
        }
        return -1;
    }

    /** Its connection would stay open for good if the machine were silent. */
    @Test
    void requestIsCalledOffAtACacheThatHasLeftTheListMeanwhile() throws IOException, InterruptedException {
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line fetch = cache.next();
        sendDiscoveryEvent("{\"index\":2,\"endpoints\":{\"reset\":false,\"instances\":["
                + endpointJson("c-1", cache, "edge-1", "box", "left") + "]}}");
        client.abort(1);
        assertTrue(cache.ended() == fetch.socket());
    }

    /** A new cache may have the address of one that has gone: its work goes out on connections of its own. */
    @Test
    void newCacheAtAnOldAddressGetsItsOwnConnection() throws IOException, InterruptedException {
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line first = cache.next();
        first.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        client.answer();
        sendDiscoveryEvent("{\"index\":2,\"endpoints\":{\"reset\":false,\"instances\":["
                + endpointJson("c-1", cache, "edge-1", "box", "left") + ","
                + endpointJson("c-2", cache, "edge-1", "box", "active")
                + "]}}");
        ask(2, "bbbbbbbbbbbbbbbb", "media");
        FakeServer.Line second = cache.next();
        assertTrue(second.socket() != first.socket());
        second.reply("bbbbbbbbbbbbbbbb ACK tell=HIT 3\r\ntwo\r\n");
        assertTrue(client.answer().endsWith("two"));
    }

    /** An event that was left out may be a drain or a purge. */
    @Test
    void gapInTheNumbersIsAskedForAgainOnce() throws IOException, InterruptedException {
        followLine.reply("{\"index\":4,\"evict\":{\"shard\":1,\"unix_ms\":1}}\n");
        FakeServer.Line again = discoveryService.next();
        assertEquals("follow 1", again.text());
        again.reply("{\"index\":2,\"evict\":{\"shard\":1,\"unix_ms\":1}}\n"
                + "{\"index\":2,\"evict\":{\"shard\":1,\"unix_ms\":1}}\n{\"index\":3,\"evi");
        again.socket().close();
        FakeServer.Line third = discoveryService.next();
        assertEquals("follow 2", third.text());
        third.reply("{\"index\":5,\"evict\":{\"shard\":1,\"unix_ms\":1}}\n");
        FakeServer.Line fourth = discoveryService.next();
        assertEquals("follow 2", fourth.text());
        fourth.reply("{\"index\":5,\"evict\":{\"shard\":1,\"unix_ms\":1}}\n");
        fourth.socket().shutdownOutput();
        assertEquals("follow 5", discoveryService.next().text());
    }

    @Test
    void newConfigurationMovesTheFollowerAndKeepsOpenRequests() throws IOException, InterruptedException {
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line fetch = cache.next();
        try (FakeServer next = new FakeServer()) {
            String old = Files.readString(file);
            Files.writeString(file, "{\"coordinator\":");
            ServeCommand.reload(proxy, file.toFile());
            sendDiscoveryEvent("{\"index\":2,\"evict\":{\"shard\":17,\"unix_ms\":1}}");
            Files.writeString(file, old.replace(discoveryService.address(), next.address()));
            ServeCommand.reload(proxy, file.toFile());
            assertEquals("follow 2", next.next().text());
        }
        fetch.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertTrue(client.answer().endsWith("one"));
        assertTrue(discoveryService.quiet());
    }

    /**
     * A coordinator that resets every stream at once: the front calls again later each time, not every 200 ms in step
     * with all fronts. The shortest waits of five calls again add up to 2.5 s.
     */
    @Test
    void aCoordinatorThatResetsEveryStreamIsCalledLessAndLessOften() throws IOException, InterruptedException {
        followLine.reset();
        long firstNs = System.nanoTime();
        for (int call = 0; call < 5; call++) {
            FakeServer.Line again = discoveryService.next();
            assertEquals("follow 1", again.text());
            again.reset();
        }
        assertTrue(System.nanoTime() - firstNs >= 2_500_000_000L);
        client.ask(2, "/_health", NO_BODY);
        assertTrue(client.answer().startsWith("2 Status: 200"));
    }

    /** A list told late and in one burst: two successions at one address within one write, with a request open. */
    @Test
    void burstOfSuccessorsAtOneAddressKeepsTheOpenRequestAndAsksTheLast() throws IOException, InterruptedException {
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line open = cache.next();
        StringBuilder burst = new StringBuilder();
        for (int i = 1; i <= 2; i++) {
            burst.append("{\"index\":")
                    .append(i + 1)
                    .append(",\"endpoints\":{\"reset\":false,\"instances\":[")
                    .append(endpointJson("c-" + i, cache, "edge-1", "box", "left"))
                    .append(",")
                    .append(endpointJson("c-" + (i + 1), cache, "edge-1", "box", "active"))
                    .append("]}}\n");
        }
        followLine.reply(burst + "{\"index\":4,\"endpoints\":{\"reset\":false,\"instances\":["
                + endpointJson("nobody", cache, "edge-1", "box", "left") + "]}}\n");
        followLine.socket().shutdownOutput();
        assertEquals("follow 4", discoveryService.next().text());
        ask(2, "bbbbbbbbbbbbbbbb", "media");
        FakeServer.Line second = cache.next();
        assertTrue(second.socket() != open.socket());
        second.reply("bbbbbbbbbbbbbbbb ACK tell=HIT 3\r\ntwo\r\n");
        assertTrue(client.answer().endsWith("two"));
        open.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertTrue(client.answer().endsWith("one"));
    }

    /**
     * A list change counts as told after 7 s, whether it came or not: a stream that falls silent is noticed, called again
     * and caught up well inside that, and what it told meanwhile binds the next send.
     */
    @Test
    void silentStreamIsCalledAgainAndCaughtUpInsideTheTimeOfTheRule() throws IOException, InterruptedException {
        long fromNs = System.nanoTime();
        clock.advance(2_600_000);
        FakeServer.Line again = discoveryService.next();
        assertEquals("follow 1", again.text());
        again.reply("{\"index\":2,\"endpoints\":{\"reset\":false,\"instances\":["
                + endpointJson("c-1", cache, "edge-1", "box", "leaving") + "]}}\n2\n");
        again.socket().shutdownOutput();
        assertEquals("follow 2", discoveryService.next().text());
        assertTrue(2_600 + (System.nanoTime() - fromNs) / 1_000_000 < 7_000, "too late");
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        assertEquals("aaaaaaaaaaaaaaaa", parent.next().word(1));
        assertTrue(cache.quiet(), "sent to a cache that drains");
    }
}
