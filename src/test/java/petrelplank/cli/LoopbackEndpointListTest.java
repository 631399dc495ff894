package petrelplank.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import petrelplank.upstream.FakeServer;

/** What changes of the endpoint list do to open and new requests, on loopback sockets. */
class LoopbackEndpointListTest extends LoopbackFixture {
    /** Its connection would stay open for good if the cache were silent. */
    @Test
    void requestIsCancelledAtACacheThatHasLeftTheListMeanwhile() throws IOException, InterruptedException {
        sendRequest(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line fetch = cache.awaitLine();
        sendDiscoveryEvent("{\"index\":2,\"endpoints\":{\"reset\":false,\"instances\":["
                + endpointJson("c-1", cache, "edge-1", "box", "left") + "]}}");
        client.abort(1);
        assertTrue(cache.awaitConnectionEnd() == fetch.socket());
    }

    /** A new cache may have the address of a removed one: its requests are sent on connections of its own. */
    @Test
    void newCacheAtAnOldAddressGetsItsOwnConnection() throws IOException, InterruptedException {
        sendRequest(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line first = cache.awaitLine();
        first.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        client.readResponse();
        sendDiscoveryEvent("{\"index\":2,\"endpoints\":{\"reset\":false,\"instances\":["
                + endpointJson("c-1", cache, "edge-1", "box", "left") + ","
                + endpointJson("c-2", cache, "edge-1", "box", "active")
                + "]}}");
        sendRequest(2, "bbbbbbbbbbbbbbbb", "media");
        FakeServer.Line second = cache.awaitLine();
        assertTrue(second.socket() != first.socket());
        second.reply("bbbbbbbbbbbbbbbb ACK tell=HIT 3\r\ntwo\r\n");
        assertTrue(client.readResponse().endsWith("two"));
    }

    /** Late list changes in one burst: two replacements at one address within one write, with a request open. */
    @Test
    void burstOfReplacementsAtOneAddressKeepsTheOpenRequestAndUsesTheLast() throws IOException, InterruptedException {
        sendRequest(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line open = cache.awaitLine();
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
        assertEquals("follow 4", discoveryService.awaitLine().text());
        sendRequest(2, "bbbbbbbbbbbbbbbb", "media");
        FakeServer.Line second = cache.awaitLine();
        assertTrue(second.socket() != open.socket());
        second.reply("bbbbbbbbbbbbbbbb ACK tell=HIT 3\r\ntwo\r\n");
        assertTrue(client.readResponse().endsWith("two"));
        open.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertTrue(client.readResponse().endsWith("one"));
    }
}
