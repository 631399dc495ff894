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

/** What is given up before it was written never is; what is given up half written goes with its connection. */
class UpstreamConnectionTest {
    /** A server that reads nothing: what is written to it waits until the test writes it. */
    private static final class Blocked extends DummySession {
        private final CommandQueue waiting = new CommandQueue();

        Blocked() {
            setWriteRequestQueue(waiting);
            suspendWrite();
        }

        /** Writes some bytes of what waits, as the I/O thread does; whole commands where {@code bytes} reach. */
        String write(int bytes) {
            StringBuilder out = new StringBuilder();
            for (WriteRequest next = waiting.poll(this); next != null; next = waiting.poll(this)) {
                IoBuffer buffer = (IoBuffer) next.getMessage();
                int count = Math.min(bytes - out.length(), buffer.remaining());
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
    private final Blocked session = new Blocked();
    private final UpstreamConnection connection =
            new UpstreamConnection(new UpstreamServer("s-1", new InetSocketAddress("127.0.0.1", 1)), 100, 0);
    private final List<String> written = new ArrayList<>();

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
        return connection.abort(attempt, () -> written.add(attempt.request().id()));
    }

    /** It used to go out once the server read again, behind the request's final answer, with its abort after it. */
    @Test
    void commandGivenUpWhileItWaitsIsNeverWritten() {
        Attempt first = send("aaaaaaaaaaaaaaaa");
        send("bbbbbbbbbbbbbbbb");
        assertFalse(abort(first), "an abort of what was never written");
        String out = session.write(ALL);
        assertTrue(out.startsWith("fetch bbbbbbbbbbbbbbbb ") && !out.contains("aaaaaaaaaaaaaaaa"), out);
        assertEquals(0, session.getScheduledWriteBytes(), "the bytes withdrawn are still counted");
    }

    @Test
    void commandGivenUpAfterItWasWrittenIsOutUntilItsAbortIsWritten() {
        Attempt first = send("aaaaaaaaaaaaaaaa");
        session.write(ALL);
        assertTrue(abort(first));
        assertEquals(List.of(), written);
        assertFalse(connection.blocked(2));
        assertTrue(connection.blocked(2), "an abort that waits over two sweeps tells of a server that reads nothing");
        assertEquals("abort aaaaaaaaaaaaaaaa\r\n", session.write(ALL));
        assertEquals(List.of("aaaaaaaaaaaaaaaa"), written);
        connection.abortEnded();
        assertFalse(connection.blocked(2));
    }

    /** The next attempt went out before the close that gives this one up: MINA closes behind all that is to be written. */
    @Test
    void abortThatIsDroppedWithItsConnectionDoesNotCountAsWritten() {
        Attempt first = send("aaaaaaaaaaaaaaaa");
        session.write(ALL);
        assertTrue(abort(first));
        connection.close();
        assertTrue(session.isClosing());
        assertEquals(List.of(), written);
    }

    @Test
    void commandGivenUpHalfWrittenEndsItsConnection() {
        Attempt first = send("aaaaaaaaaaaaaaaa");
        session.write(10);
        assertTrue(abort(first));
        assertTrue(session.isClosing());
    }

    @Test
    void onlyWhatHasBegunToBeWrittenMayHaveRun() {
        send("aaaaaaaaaaaaaaaa");
        send("bbbbbbbbbbbbbbbb");
        session.write(10);
        List<UpstreamConnection.Open> open = connection.drop();
        assertTrue(connection.written(open.get(0)));
        assertFalse(connection.written(open.get(1)));
    }

    /** Where settings allow no cancellation nothing withdraws a command whose client has left; it is not written. */
    @Test
    void commandWhoseClientHasLeftIsNeverWritten() {
        AtomicBoolean left = new AtomicBoolean();
        Attempt first = Attempts.of("aaaaaaaaaaaaaaaa", 0, channel(left));
        connection.send(first, 0);
        left.set(true);
        assertEquals("", session.write(ALL));
        assertTrue(connection.withdraw(first), "what was passed over counts as never written");
        assertFalse(connection.withdraw(first));
    }

    /** The connection comes up late: what it was made for is written only where somebody still waits. */
    @Test
    void whatNobodyWaitsForIsNotWrittenAsTheConnectionComesUp() {
        UpstreamConnection late = new UpstreamConnection(connection.server, 100, 0);
        AtomicBoolean left = new AtomicBoolean();
        Attempt gone = Attempts.of("aaaaaaaaaaaaaaaa", 0, channel(left));
        late.send(gone, 0);
        late.send(Attempts.of("bbbbbbbbbbbbbbbb", 0), 0);
        left.set(true);
        Blocked made = new Blocked();
        late.connected(made, 0);
        String out = made.write(ALL);
        assertTrue(out.startsWith("fetch bbbbbbbbbbbbbbbb ") && !out.contains("aaaaaaaaaaaaaaaa"), out);
        assertTrue(late.withdraw(gone));
    }

    private static ResponseChannel channel(AtomicBoolean left) {
        return new ResponseChannel() {
            @Override
            public void answer(ClientResponse answer) {}

            @Override
            public boolean isOpen() {
                return !left.get();
            }
        };
    }

    /** Where no second copies are allowed, the next attempt waits for the abort before it, or its connection's end. */
    @Test
    void nextAttemptWaitsUntilTheLastIsGivenUpOnTheWire() {
        PendingAborts withdrawals = new PendingAborts();
        UpstreamConnection other = new UpstreamConnection(connection.server, 100, 0);
        String id = "aaaaaaaaaaaaaaaa";
        Attempt second = Attempts.of(id, 1);
        assertFalse(withdrawals.hold(second));
        withdrawals.began(id, connection);
        withdrawals.began(id, other);
        assertTrue(withdrawals.hold(second));
        assertFalse(withdrawals.hold(Attempts.of("bbbbbbbbbbbbbbbb", 0)));
        assertEquals(List.of(), withdrawals.ended(id, connection));
        assertEquals(List.of(second), withdrawals.closed(other));
        assertFalse(withdrawals.hold(second));
        withdrawals.began(id, connection);
        assertTrue(withdrawals.hold(second));
        withdrawals.drop(second);
        assertEquals(List.of(), withdrawals.ended(id, connection));
    }
}
