package petrelplank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelplank.fastcgi.FastCgiClient;
import petrelplank.upstream.FakeServer;

/** The discovery stream and reloads of the configuration, on loopback sockets. */
class LoopbackDiscoveryTest extends LoopbackFixture {
    private static String list(int index, boolean complete, String... entries) {
        return "{\"index\":" + index + ",\"endpoints\":{\"reset\":" + complete + ",\"instances\":["
                + String.join(",", entries) + "]}}\n";
    }

    private String draining() {
        return endpointJson("c-1", cache, "edge-1", "box", "leaving");
    }

    /** Sends a request and responds to its attempt; the server that got it. */
    private FakeServer routedTo(String request) throws IOException, InterruptedException {
        sendRequest(1, request, "media");
        FakeServer server = null;
        for (int polls = 0; server == null && polls < 4000; polls++) {
            server = !cache.hasNoQueuedLines() ? cache : !parent.hasNoQueuedLines() ? parent : null;
            Thread.sleep(5);
        }
        assertThat(server).as("a server got the request").isNotNull();
        server.awaitLine().reply(request + " ACK tell=HIT 3\r\none\r\n");
        assertThat(client.readResponse()).startsWith("1 Status: 200");
        return server;
    }

    /** A service that fails without an error sends an empty list: the last good one stays, and the stream is reconnected. */
    @Test
    void emptyCompleteListIsRejected() throws IOException, InterruptedException {
        followLine.reply(list(2, true));
        FakeServer.Line again = discoveryService.awaitLine();
        assertThat(again.text()).isEqualTo("follow 1");
        assertThat(routedTo("aaaaaaaaaaaaaaaa")).isSameAs(cache);
        again.reply(list(2, false, draining()));
        again.socket().shutdownOutput();
        assertThat(discoveryService.awaitLine().text()).isEqualTo("follow 2");
        assertThat(routedTo("bbbbbbbbbbbbbbbb")).isSameAs(parent);
    }

    /** An endpoint missing in a complete list is removed; an older list that arrives late does not bring it back. */
    @Test
    void completeListRemovesEndpointsThatItLacks() throws IOException, InterruptedException {
        String parents = endpointJson("p-1", parent, "north", "parent", "active");
        String origins = endpointJson("o-1", origin, "north", "origin", "active");
        followLine.reply(list(2, true, parents, origins)
                + list(1, true, endpointJson("c-1", cache, "edge-1", "box", "active"), parents, origins));
        followLine.socket().shutdownOutput();
        assertThat(discoveryService.awaitLine().text()).isEqualTo("follow 2");
        assertThat(routedTo("aaaaaaaaaaaaaaaa")).isSameAs(parent);
    }

    /** Heartbeats go on and their number rises, but no event arrives: the stream is reconnected until one does. */
    @Test
    void heartbeatsAheadOfTheEventsCauseReconnects() throws IOException, InterruptedException {
        followLine.reply("1\n2\n");
        FakeServer.Line again = discoveryService.awaitLine();
        assertThat(again.text()).isEqualTo("follow 1");
        again.reply("2\n");
        FakeServer.Line third = discoveryService.awaitLine();
        assertThat(third.text()).isEqualTo("follow 1");
        third.reply(list(2, false, draining()));
        third.socket().shutdownOutput();
        assertThat(discoveryService.awaitLine().text()).isEqualTo("follow 2");
        assertThat(routedTo("aaaaaaaaaaaaaaaa")).isSameAs(parent);
    }

    /** An event that was left out may be a drain or a purge. */
    @Test
    void gapInTheEventNumbersIsRequestedAgainOnce() throws IOException, InterruptedException {
        followLine.reply("{\"index\":4,\"evict\":{\"shard\":1,\"unix_ms\":1}}\n");
        FakeServer.Line again = discoveryService.awaitLine();
        assertThat(again.text()).isEqualTo("follow 1");
        again.reply("{\"index\":2,\"evict\":{\"shard\":1,\"unix_ms\":1}}\n"
                + "{\"index\":2,\"evict\":{\"shard\":1,\"unix_ms\":1}}\n{\"index\":3,\"evi");
        again.socket().close();
        FakeServer.Line third = discoveryService.awaitLine();
        assertThat(third.text()).isEqualTo("follow 2");
        third.reply("{\"index\":5,\"evict\":{\"shard\":1,\"unix_ms\":1}}\n");
        FakeServer.Line fourth = discoveryService.awaitLine();
        assertThat(fourth.text()).isEqualTo("follow 2");
        fourth.reply("{\"index\":5,\"evict\":{\"shard\":1,\"unix_ms\":1}}\n");
        fourth.socket().shutdownOutput();
        assertThat(discoveryService.awaitLine().text()).isEqualTo("follow 5");
    }

    /**
     * A discovery service that resets every stream at once: the proxy reconnects later each time, not every 200 ms in
     * step with all proxies. The shortest delays of five reconnects add up to 2.5 s.
     */
    @Test
    void reconnectsBackOffWhileEveryStreamIsReset() throws IOException, InterruptedException {
        followLine.reset();
        long firstNs = System.nanoTime();
        for (int reconnect = 0; reconnect < 5; reconnect++) {
            FakeServer.Line again = discoveryService.awaitLine();
            assertThat(again.text()).isEqualTo("follow 1");
            again.reset();
        }
        assertThat(System.nanoTime() - firstNs).isGreaterThanOrEqualTo(2_500_000_000L);
        client.sendRequest(2, "/_health", NO_BODY);
        assertThat(client.readResponse()).startsWith("2 Status: 200");
    }

    /**
     * A list change counts as delivered after 7 s, whether it arrived or not: a stream that falls silent is detected,
     * reconnected and caught up well inside that, and what was missed meanwhile binds the next attempt.
     */
    @Test
    void silentStreamIsReconnectedAndCaughtUpWithinTheDeliveryDeadline() throws IOException, InterruptedException {
        long fromNs = System.nanoTime();
        clock.advance(2_600_000);
        FakeServer.Line again = discoveryService.awaitLine();
        assertThat(again.text()).isEqualTo("follow 1");
        again.reply("{\"index\":2,\"endpoints\":{\"reset\":false,\"instances\":["
                + endpointJson("c-1", cache, "edge-1", "box", "leaving") + "]}}\n2\n");
        again.socket().shutdownOutput();
        assertThat(discoveryService.awaitLine().text()).isEqualTo("follow 2");
        assertThat(2_600 + (System.nanoTime() - fromNs) / 1_000_000)
                .as("milliseconds until caught up")
                .isLessThan(7_000);
        sendRequest(1, "aaaaaaaaaaaaaaaa", "media");
        assertThat(parent.awaitLine().word(1)).isEqualTo("aaaaaaaaaaaaaaaa");
        assertThat(cache.hasNoQueuedLines())
                .as("nothing sent to a draining cache")
                .isTrue();
    }

    @Test
    void reloadMovesTheDiscoveryClientAndKeepsOpenRequests() throws IOException, InterruptedException {
        sendRequest(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line fetch = cache.awaitLine();
        try (FakeServer next = new FakeServer()) {
            String old = Files.readString(file);
            Files.writeString(file, "{\"coordinator\":");
            ServeCommand.reload(proxy, file.toFile());
            sendDiscoveryEvent("{\"index\":2,\"evict\":{\"shard\":17,\"unix_ms\":1}}");
            Files.writeString(file, old.replace(discoveryService.address(), next.address()));
            ServeCommand.reload(proxy, file.toFile());
            assertThat(next.awaitLine().text()).isEqualTo("follow 2");
        }
        fetch.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertThat(client.readResponse()).endsWith("one");
        assertThat(discoveryService.hasNoQueuedLines()).isTrue();
    }

    /** A drain known to a reloaded configuration applies at once, though its discovery service is not reached yet. */
    @Test
    void reloadAppliesKnownEvents() throws IOException, InterruptedException {
        try (FakeServer next = new FakeServer()) {
            String known = list(2, false, draining()).trim();
            Files.writeString(
                    file,
                    Files.readString(file)
                            .replace(discoveryService.address(), next.address())
                            .replace("{\"index\":1,\"updates\":[", "{\"index\":2,\"updates\":[")
                            .replace("]}}]},\"settings\"", "]}}," + known + "]},\"settings\""));
            ServeCommand.reload(proxy, file.toFile());
            assertThat(next.awaitLine().text()).isEqualTo("follow 2");
            assertThat(routedTo("aaaaaaaaaaaaaaaa")).isSameAs(parent);
        }
    }

    /** The stream breaks while idle clients hold all their descriptors: its reconnect gets a descriptor all the same. */
    @Test
    void streamReconnectsWhileIdleClientsHoldAllTheirDescriptors() throws IOException, InterruptedException {
        List<FastCgiClient> idle = new ArrayList<>();
        for (int i = 0; i < SOCKETS; i++) {
            idle.add(new FastCgiClient(proxy.address()));
        }
        followLine.reset();
        FakeServer.Line again = discoveryService.awaitLine();
        assertThat(again.text()).isEqualTo("follow 1");
        again.reply(list(2, false, draining()));
        again.socket().shutdownOutput();
        assertThat(discoveryService.awaitLine().text()).isEqualTo("follow 2");
        for (FastCgiClient one : idle) {
            one.close();
        }
    }

    /** Two reloads in a row, the second one unusable: the discovery service of the first stays in use. */
    @Test
    void unusableSecondReloadChangesNothing() throws IOException, InterruptedException {
        try (FakeServer next = new FakeServer()) {
            String old = Files.readString(file);
            Files.writeString(file, old.replace(discoveryService.address(), next.address()));
            ServeCommand.reload(proxy, file.toFile());
            Files.writeString(file, old.replace("\"settings\":", "\"none\":"));
            ServeCommand.reload(proxy, file.toFile());
            FakeServer.Line stream = next.awaitLine();
            assertThat(stream.text()).isEqualTo("follow 1");
            stream.reply(list(2, false, draining()));
            stream.socket().shutdownOutput();
            assertThat(next.awaitLine().text()).isEqualTo("follow 2");
            assertThat(routedTo("aaaaaaaaaaaaaaaa")).isSameAs(parent);
        }
    }
}
