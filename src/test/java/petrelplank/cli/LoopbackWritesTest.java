package petrelplank.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelplank.upstream.FakeServer;

/** Requests that are not idempotent, or only with a key, on loopback sockets. */
class LoopbackWritesTest extends LoopbackFixture {
    @Test
    void nonIdempotentWriteThatWasResetOrFailedIsNeverRetried() throws IOException, InterruptedException {
        sendRequest(1, "aaaaaaaaaaaaaaaa", "stock-move");
        FakeServer.Line sent = origin.awaitLine();
        assertTrue(
                sent.text().startsWith("fetch aaaaaaaaaaaaaaaa cls=stock-move,")
                        && sent.text().endsWith(" 4"),
                sent.text());
        assertEquals("move", origin.awaitLine().text());
        sent.reset();
        assertTrue(client.readResponse().startsWith("1 Status: 504"));
        sendRequest(2, "bbbbbbbbbbbbbbbb", "stock-move");
        FakeServer.Line second = origin.awaitLine();
        assertEquals("move", origin.awaitLine().text());
        second.reply("bbbbbbbbbbbbbbbb EIO - 0\r\n\r\n");
        assertTrue(client.readResponse().startsWith("2 Status: 504"));
        assertTrue(origin.hasNoQueuedLines() && parent.hasNoQueuedLines() && cache.hasNoQueuedLines());
    }

    /** The origin recognises repeats by the key: it is the same in every attempt, and required. */
    @Test
    void idempotencyKeyIsTheSameInEveryAttempt() throws IOException, InterruptedException {
        String key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
        askKeyed(1, "aaaaaaaaaaaaaaaa", key);
        FakeServer.Line first = origin.awaitLine();
        assertTrue(
                first.text().contains(",nonce=" + key)
                        && origin.awaitLine().text().equals("mark"),
                first.text());
        first.reset();
        FakeServer.Line retry = parent.awaitLine();
        assertTrue(
                retry.text().startsWith("fetch aaaaaaaaaaaaaaaa ")
                        && retry.text().contains(",nonce=" + key),
                retry.text());
        retry.reply("aaaaaaaaaaaaaaaa ACK - 2\r\nok\r\n");
        assertTrue(client.readResponse().endsWith("ok"));
        for (String bad : new String[] {null, "", "a b", "a,b", "a=b", "a\r\nb", "\u00e9"}) {
            askKeyed(2, "bbbbbbbbbbbbbbbb", bad);
            assertTrue(client.readResponse().startsWith("2 Status: 400"), String.valueOf(bad));
        }
        assertTrue(cache.hasNoQueuedLines());
    }

    private void askKeyed(int id, String request, String key) throws IOException {
        List<String> headers = new ArrayList<>(List.of(RequestHeaders.of(request)));
        if (key != null) {
            headers.addAll(List.of("Idempotency-Key", key));
        }
        client.sendRequest(id, "/invoke/receipt", "mark".getBytes(), headers.toArray(String[]::new));
    }

    /** Nothing was executed, so another server is tried; where that rejects it, the client may retry. */
    @Test
    void nonIdempotentWriteThatWasNeverSentIsRetriedElsewhere() throws IOException, InterruptedException {
        origin.stopListening();
        sendRequest(1, "aaaaaaaaaaaaaaaa", "stock-move");
        FakeServer.Line other = parent.awaitLine();
        assertTrue(other.text().contains(",from=o-1 "), other.text());
        other.reply("aaaaaaaaaaaaaaaa AGAIN - 0\r\n\r\n");
        assertTrue(client.readResponse().contains("Status: 503"));
    }

    /** An idle connection may be reset by the next command, and a shared one by another's; a retry isn't allowed. */
    @Test
    void nonIdempotentWriteIsSentOnADedicatedConnection() throws IOException, InterruptedException {
        FakeServer.Line[] sent = new FakeServer.Line[3];
        for (int i = 0; i < sent.length; i++) {
            sendRequest(i + 1, "c00000000000000" + i, "stock-move");
            sent[i] = origin.awaitLine();
            assertEquals("move", origin.awaitLine().text());
        }
        sent[0].reset();
        assertTrue(client.readResponse().startsWith("1 Status: 504"));
        sent[1].reset();
        assertTrue(client.readResponse().startsWith("2 Status: 504"));
        sent[2].reply("c000000000000002 ACK - 2\r\nok\r\n");
        assertTrue(client.readResponse().endsWith("ok"));
        sendRequest(4, "c000000000000003", "stock-move");
        assertTrue(origin.awaitLine().socket() != sent[2].socket());
    }
}
