package petrelplank.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.DummySession;
import org.apache.mina.core.write.WriteRequest;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import petrelplank.proxy.Attempt;
import petrelplank.proxy.Attempts;
import petrelplank.proxy.ClientResponse;
import petrelplank.proxy.ResponseChannel;
import petrelplank.upstream.StallDetector.Stall;

/** An aborted command that is still queued is never written; one that is partly written closes its connection. */
class UpstreamConnectionTest {
    /** A session with a server that does not read: commands stay queued until the test writes them. */
    private static final class UnreadSession extends DummySession {
        private final CommandQueue queue = new CommandQueue();

        UnreadSession() {
            setWriteRequestQueue(queue);
            suspendWrite();
        }

        /** Writes at most {@code maxBytes} bytes of queued commands, as the I/O thread does; returns them as text. */
        String write(int maxBytes) {
            StringBuilder out = new StringBuilder();
            for (WriteRequest next = queue.poll(this); next != null; next = queue.poll(this)) {
                IoBuffer buffer = (IoBuffer) next.getMessage();
                int count = Math.min(maxBytes - out.length(), buffer.remaining());
                byte[] part = new byte[count];
                buffer.get(part);
                increaseWrittenBytes(count, 0);
                out.append(new String(part, StandardCharsets.ISO_8859_1));
                if (buffer.hasRemaining()) {
                    return out.toString();
                }
                next.getFuture().setWritten();
            }
            return out.toString();
        }
    }

    private static final int ALL = Integer.MAX_VALUE;
    private final UnreadSession session = new UnreadSession();
    private final UpstreamConnection connection =
            new UpstreamConnection(new UpstreamServer("s-1", new InetSocketAddress("127.0.0.1", 1)), 100, 0);
    private final List<String> writtenAborts = new ArrayList<>();

    @BeforeEach
    void connect() {
        connection.connected(session, 0);
    }

    private Attempt send(String request) {
        Attempt attempt = Attempts.of(request, 0);
        connection.send(attempt, 0);
        return attempt;
    }

    private boolean abort(Attempt attempt) {
        return connection.abort(
                attempt, () -> writtenAborts.add(attempt.request().id()));
    }

    /**
     * Guards against writing an aborted command, followed by its abort, once the server reads again. By then the client
     * already has its final response.
     */
    @Test
    void commandAbortedWhileQueuedIsNeverWritten() {
        Attempt first = send("aaaaaaaaaaaaaaaa");
        send("bbbbbbbbbbbbbbbb");
        assertFalse(abort(first), "an abort is pending for a command that was never written");
        String out = session.write(ALL);
        assertTrue(out.startsWith("fetch bbbbbbbbbbbbbbbb ") && !out.contains("aaaaaaaaaaaaaaaa"), out);
        assertEquals(0, session.getScheduledWriteBytes(), "bytes of the withdrawn command still count as scheduled");
    }

    @Test
    void attemptAbortedAfterItWasWrittenIsInFlightUntilItsAbortIsWritten() {
        Attempt first = send("aaaaaaaaaaaaaaaa");
        session.write(ALL);
        assertTrue(abort(first));
        assertEquals(List.of(), writtenAborts);
        assertEquals(Stall.NONE, connection.stallDetector().sweep());
        assertEquals(Stall.NOT_READING, connection.stallDetector().sweep(), "an abort is unwritten for two sweeps");
        assertEquals("abort aaaaaaaaaaaaaaaa\r\n", session.write(ALL));
        assertEquals(List.of("aaaaaaaaaaaaaaaa"), writtenAborts);
        connection.stallDetector().abortWritten();
        assertEquals(Stall.NONE, connection.stallDetector().sweep());
    }

    /**
     * Guards against sending the next attempt while this one is still in flight: MINA completes dropped writes before
     * it closes the connection, and it is the close that aborts this attempt.
     */
    @Test
    void abortDroppedWithItsConnectionDoesNotCountAsWritten() {
        Attempt first = send("aaaaaaaaaaaaaaaa");
        session.write(ALL);
        assertTrue(abort(first));
        connection.close();
        assertTrue(session.isClosing());
        assertEquals(List.of(), writtenAborts);
    }

    @Test
    void commandAbortedHalfWrittenClosesItsConnection() {
        Attempt first = send("aaaaaaaaaaaaaaaa");
        session.write(10);
        assertTrue(abort(first));
        assertTrue(session.isClosing());
    }

    @Test
    void onlyPartlyWrittenCommandsMayHaveExecuted() {
        send("aaaaaaaaaaaaaaaa");
        send("bbbbbbbbbbbbbbbb");
        session.write(10);
        List<UpstreamConnection.OpenAttempt> open = connection.removeAll();
        assertTrue(connection.mayHaveExecuted(open.get(0)));
        assertFalse(connection.mayHaveExecuted(open.get(1)));
    }

    /**
     * If the settings disable cancellation, the command of a disconnected client is not withdrawn. The queue must skip
     * it nevertheless.
     */
    @Test
    void commandOfADisconnectedClientIsNeverWritten() {
        AtomicBoolean disconnected = new AtomicBoolean();
        Attempt first = Attempts.of("aaaaaaaaaaaaaaaa", 0, channel(disconnected));
        connection.send(first, 0);
        disconnected.set(true);
        assertEquals("", session.write(ALL));
        assertTrue(connection.withdraw(first), "a skipped command must count as never written");
        assertFalse(connection.withdraw(first));
    }

    /** When the connection is established, only those commands are written whose clients are still connected. */
    @Test
    void commandOfADisconnectedClientIsNotWrittenWhenTheConnectionIsMade() {
        UpstreamConnection late = new UpstreamConnection(connection.server(), 100, 0);
        AtomicBoolean disconnected = new AtomicBoolean();
        Attempt abandoned = Attempts.of("aaaaaaaaaaaaaaaa", 0, channel(disconnected));
        late.send(abandoned, 0);
        late.send(Attempts.of("bbbbbbbbbbbbbbbb", 0), 0);
        disconnected.set(true);
        UnreadSession made = new UnreadSession();
        late.connected(made, 0);
        String out = made.write(ALL);
        assertTrue(out.startsWith("fetch bbbbbbbbbbbbbbbb ") && !out.contains("aaaaaaaaaaaaaaaa"), out);
        assertTrue(late.withdraw(abandoned));
    }

    private static ResponseChannel channel(AtomicBoolean disconnected) {
        return new ResponseChannel() {
            @Override
            public void answer(ClientResponse answer) {}

            @Override
            public boolean isOpen() {
                return !disconnected.get();
            }
        };
    }
}
