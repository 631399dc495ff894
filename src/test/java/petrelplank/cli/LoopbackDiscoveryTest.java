package petrelplank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelplank.fastcgi.FcgiClient;
import petrelplank.upstream.FakeServer;

/** The discovery stream and reloads of the configuration, on loopback sockets. */
class LoopbackDiscoveryTest extends LoopbackFixture {
    private static String list(int index, boolean complete, String... entries) {
        return "{\"index\":" + index + ",\"endpoints\":{\"reset\":" + complete + ",\"instances\":["
                + String.join(",", entries) + "]}}\n";
    }

    private String draining() {
        return entry("c-1", cache, "edge-1", "box", "leaving");
    }

    /** Sends a request and responds to its attempt; the server that got it. */
    private FakeServer routedTo(String request) throws IOException, InterruptedException {
        ask(1, request, "media");
        FakeServer server = null;
        for (int polls = 0; server == null && polls < 4000; polls++) {
            server = !cache.quiet() ? cache : !parent.quiet() ? parent : null;
            Thread.sleep(5);
        }
        assertThat(server).as("a server got the request").isNotNull();
        server.next().reply(request + " ACK tell=HIT 3\r\none\r\n");
        assertThat(client.answer()).startsWith("1 Status: 200");
        return server;
    }

    /** A service that fails without an error sends an empty list: the last good one stays, and the stream is reconnected. */
    @Test
    void emptyCompleteListIsRejected() throws IOException, InterruptedException {
        follow.reply(list(2, true));
        FakeServer.Line again = coordinator.next();
        assertThat(again.text()).isEqualTo("follow 1");
        assertThat(routedTo("aaaaaaaaaaaaaaaa")).isSameAs(cache);
        again.reply(list(2, false, draining()));
        again.socket().shutdownOutput();
        assertThat(coordinator.next().text()).isEqualTo("follow 2");
        assertThat(routedTo("bbbbbbbbbbbbbbbb")).isSameAs(parent);
    }

    /** An endpoint missing in a complete list is removed; an older list that arrives late does not bring it back. */
    @Test
    void completeListRemovesEndpointsThatItLacks() throws IOException, InterruptedException {
        String parents = entry("p-1", parent, "north", "parent", "active");
        String origins = entry("o-1", origin, "north", "origin", "active");
        follow.reply(list(2, true, parents, origins)
                + list(1, true, entry("c-1", cache, "edge-1", "box", "active"), parents, origins));
        follow.socket().shutdownOutput();
        assertThat(coordinator.next().text()).isEqualTo("follow 2");
        assertThat(routedTo("aaaaaaaaaaaaaaaa")).isSameAs(parent);
    }

    /** Heartbeats go on and their number rises, but no event arrives: the stream is reconnected until one does. */
    @Test
    void heartbeatsAheadOfTheEventsCauseReconnects() throws IOException, InterruptedException {
        follow.reply("1\n2\n");
        FakeServer.Line again = coordinator.next();
        assertThat(again.text()).isEqualTo("follow 1");
        again.reply("2\n");
        FakeServer.Line third = coordinator.next();
        assertThat(third.text()).isEqualTo("follow 1");
        third.reply(list(2, false, draining()));
        third.socket().shutdownOutput();
        assertThat(coordinator.next().text()).isEqualTo("follow 2");
        assertThat(routedTo("aaaaaaaaaaaaaaaa")).isSameAs(parent);
    }

    /** A drain known to a reloaded configuration applies at once, though its discovery service is not reached yet. */
    @Test
    void reloadAppliesKnownEvents() throws IOException, InterruptedException {
        try (FakeServer next = new FakeServer()) {
            String known = list(2, false, draining()).trim();
            Files.writeString(
                    file,
                    Files.readString(file)
                            .replace(coordinator.address(), next.address())
                            .replace("{\"index\":1,\"updates\":[", "{\"index\":2,\"updates\":[")
                            .replace("]}}]},\"settings\"", "]}}," + known + "]},\"settings\""));
            ServeCommand.reload(front, file.toFile());
            assertThat(next.next().text()).isEqualTo("follow 2");
            assertThat(routedTo("aaaaaaaaaaaaaaaa")).isSameAs(parent);
        }
    }

    /** The stream breaks while idle clients hold all their descriptors: its reconnect gets a descriptor all the same. */
    @Test
    void streamReconnectsWhileIdleClientsHoldAllTheirDescriptors() throws IOException, InterruptedException {
        List<FcgiClient> idle = new ArrayList<>();
        for (int i = 0; i < SOCKETS; i++) {
            idle.add(new FcgiClient(front.address()));
        }
        follow.reset();
        FakeServer.Line again = coordinator.next();
        assertThat(again.text()).isEqualTo("follow 1");
        again.reply(list(2, false, draining()));
        again.socket().shutdownOutput();
        assertThat(coordinator.next().text()).isEqualTo("follow 2");
        for (FcgiClient one : idle) {
            one.close();
        }
    }

    /** Two reloads in a row, the second one unusable: the discovery service of the first stays in use. */
    @Test
    void unusableSecondReloadChangesNothing() throws IOException, InterruptedException {
        try (FakeServer next = new FakeServer()) {
            String old = Files.readString(file);
            Files.writeString(file, old.replace(coordinator.address(), next.address()));
            ServeCommand.reload(front, file.toFile());
            Files.writeString(file, old.replace("\"settings\":", "\"none\":"));
            ServeCommand.reload(front, file.toFile());
            FakeServer.Line stream = next.next();
            assertThat(stream.text()).isEqualTo("follow 1");
            stream.reply(list(2, false, draining()));
            stream.socket().shutdownOutput();
            assertThat(next.next().text()).isEqualTo("follow 2");
            assertThat(routedTo("aaaaaaaaaaaaaaaa")).isSameAs(parent);
        }
    }
}
