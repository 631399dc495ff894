package petrelplank.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import petrelplank.upstream.FakeServer;

/** Memory that open requests hold, on loopback sockets. */
class LoopbackMemoryTest extends LoopbackFixture {
    /** Guards against hundreds of large bodies, which are held until their response and would take all memory. */
    @Test
    void bodiesOfOpenRequestsAreBoundedByMemory() throws IOException, InterruptedException {
        byte[] body = new byte[60_000];
        FakeServer.Line[] sent = new FakeServer.Line[3];
        for (int i = 0; i < sent.length; i++) {
            client.sendRequest(i + 1, "/invoke/stock-move", body, RequestHeaders.of("c00000000000000" + i));
            sent[i] = origin.awaitLine();
            origin.awaitLine();
        }
        sendRequest(4, "aaaaaaaaaaaaaaaa", "media");
        assertEquals("4 rejected, protocol status 2", client.readResponse());
        for (FakeServer.Line one : sent) {
            one.reply(one.word(1) + " ACK - 2\r\nok\r\n");
            assertTrue(client.readResponse().endsWith("ok"));
        }
        sendRequest(4, "aaaaaaaaaaaaaaaa", "media");
        assertEquals("aaaaaaaaaaaaaaaa", cache.awaitLine().word(1));
    }
}
