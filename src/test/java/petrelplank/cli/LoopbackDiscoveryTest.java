package petrelplank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelplank.fastcgi.FcgiClient;
import petrelplank.upstream.FakeServer;

/** What the coordinator's stream and a new configuration tell, on loopback sockets. */
class LoopbackDiscoveryTest extends LoopbackFixture {
    private static String list(int index, boolean whole, String... entries) {
        return "{\"index\":" + index + ",\"endpoints\":{\"reset\":" + whole + ",\"instances\":["
                + String.join(",", entries) + "]}}\n";
    }

    private String draining() {
        return endpointJson("c-1", cache, "edge-1", "box", "leaving");
    }

    /** Asks, and answers what is sent; the server that got it. */
    private FakeServer served(String request) throws IOException, InterruptedException {
        ask(1, request, "media");
        FakeServer asked = null;
        for (int looks = 0; asked == null && looks < 4000; looks++) {
            asked = !cache.quiet() ? cache : !parent.quiet() ? parent : null;
            Thread.sleep(5);
        }
        assertThat(asked).as("a server was asked").isNotNull();
        asked.next().reply(request + " ACK tell=HIT 3\r\none\r\n");
        assertThat(client.answer()).startsWith("1 Status: 200");
        return asked;
    }

    /** A list that fails without an error: nothing is left in it. The last good one stays, and it is asked for again. */
    @Test
    void emptyWholeListIsNotTaken() throws IOException, InterruptedException {
        followLine.reply(list(2, true));
        FakeServer.Line again = discoveryService.next();
        assertThat(again.text()).isEqualTo("follow 1");
        assertThat(served("aaaaaaaaaaaaaaaa")).isSameAs(cache);
        again.reply(list(2, false, draining()));
        again.socket().shutdownOutput();
        assertThat(discoveryService.next().text()).isEqualTo("follow 2");
        assertThat(served("bbbbbbbbbbbbbbbb")).isSameAs(parent);
    }

    /** What a whole list lacks has gone; an older list, told late, does not bring it back. */
    @Test
    void shorterWholeListTakesOutWhatItLacks() throws IOException, InterruptedException {
        String parents = endpointJson("p-1", parent, "north", "parent", "active");
        String origins = endpointJson("o-1", origin, "north", "origin", "active");
        followLine.reply(list(2, true, parents, origins)
                + list(1, true, endpointJson("c-1", cache, "edge-1", "box", "active"), parents, origins));
        followLine.socket().shutdownOutput();
        assertThat(discoveryService.next().text()).isEqualTo("follow 2");
        assertThat(served("aaaaaaaaaaaaaaaa")).isSameAs(parent);
    }

    /** Beats go on and their number rises, but no entry comes: the stream is called again until one does. */
    @Test
    void beatsAheadOfTheEntriesAreFollowedAnew() throws IOException, InterruptedException {
        followLine.reply("1\n2\n");
        FakeServer.Line again = discoveryService.next();
        assertThat(again.text()).isEqualTo("follow 1");
        again.reply("2\n");
        FakeServer.Line third = discoveryService.next();
        assertThat(third.text()).isEqualTo("follow 1");
        third.reply(list(2, false, draining()));
        third.socket().shutdownOutput();
        assertThat(discoveryService.next().text()).isEqualTo("follow 2");
        assertThat(served("aaaaaaaaaaaaaaaa")).isSameAs(parent);
    }

    /** A drain that a new configuration knows binds at once, though the new coordinator is not reached yet. */
    @Test
    void newConfigurationBringsWhatItKnows() throws IOException, InterruptedException {
        try (FakeServer next = new FakeServer()) {
            String known = list(2, false, draining()).trim();
            Files.writeString(
                    file,
                    Files.readString(file)
                            .replace(discoveryService.address(), next.address())
                            .replace("{\"index\":1,\"updates\":[", "{\"index\":2,\"updates\":[")
                            .replace("]}}]},\"settings\"", "]}}," + known + "]},\"settings\""));
            ServeCommand.reload(proxy, file.toFile());
            assertThat(next.next().text()).isEqualTo("follow 2");
            assertThat(served("aaaaaaaaaaaaaaaa")).isSameAs(parent);
        }
    }

    /** The stream breaks while idle clients hold all that clients may hold: its next call has a descriptor all the same. */
    @Test
    void streamIsFollowedAnewThoughIdleClientsHoldTheirShare() throws IOException, InterruptedException {
        List<FcgiClient> idle = new ArrayList<>();
        for (int i = 0; i < SOCKETS; i++) {
            idle.add(new FcgiClient(proxy.address()));
        }
        followLine.reset();
        FakeServer.Line again = discoveryService.next();
        assertThat(again.text()).isEqualTo("follow 1");
        again.reply(list(2, false, draining()));
        again.socket().shutdownOutput();
        assertThat(discoveryService.next().text()).isEqualTo("follow 2");
        for (FcgiClient one : idle) {
            one.close();
        }
    }

    /** Two new configurations in a row, the second one unusable: the first one's coordinator is followed. */
    @Test
    void secondConfigurationThatCannotBeUsedChangesNothing() throws IOException, InterruptedException {
        try (FakeServer next = new FakeServer()) {
            String old = Files.readString(file);
            Files.writeString(file, old.replace(discoveryService.address(), next.address()));
            ServeCommand.reload(proxy, file.toFile());
            Files.writeString(file, old.replace("\"settings\":", "\"none\":"));
            ServeCommand.reload(proxy, file.toFile());
            FakeServer.Line followed = next.next();
            assertThat(followed.text()).isEqualTo("follow 1");
            followed.reply(list(2, false, draining()));
            followed.socket().shutdownOutput();
            assertThat(next.next().text()).isEqualTo("follow 2");
            assertThat(served("aaaaaaaaaaaaaaaa")).isSameAs(parent);
        }
    }
}
