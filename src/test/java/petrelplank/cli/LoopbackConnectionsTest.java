package petrelplank.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import petrelplank.fastcgi.FastCgiClient;
import petrelplank.upstream.FakeServer;

/** Timeouts and limits of client connections, on loopback sockets. */
class LoopbackConnectionsTest extends LoopbackFixture {
    /** A connection's state in /proc/net/tcp. */
    private static final String ESTABLISHED = "01";

    private static final String NO_INODE = "0";

    @Test
    void silentAndIncompleteConnectionsTimeOutAndPendingRequestsDoNot() throws IOException, InterruptedException {
        sendRequest(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line fetch = cache.awaitLine();
        try (FastCgiClient silent = new FastCgiClient(proxy.address());
                FastCgiClient incomplete = new FastCgiClient(proxy.address());
                FastCgiClient idle = new FastCgiClient(proxy.address())) {
            incomplete.sendBytes(new byte[] {1, 1, 0, 1, 0, 8, 0, 0, 0, 1});
            idle.sendRequest(1, "/_health", NO_BODY);
            idle.readResponse();
            clock.advance(2_100_000);
            assertEquals("closed", silent.readResponse());
            assertEquals("closed", incomplete.readResponse());
            idle.sendRequest(2, "/_health", NO_BODY);
            assertTrue(idle.readResponse().startsWith("2 Status: 200"));
            clock.advance(5_100_000);
            assertEquals("closed", idle.readResponse());
        }
        fetch.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertTrue(client.readResponse().endsWith("one"));
    }

    /** Clients that send one request and stay connected must not keep others out, nor end pending requests. */
    @Test
    void longestIdleConnectionIsClosedAtTheLimit() throws IOException, InterruptedException {
        sendRequest(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line fetch = cache.awaitLine();
        List<FastCgiClient> kept = new ArrayList<>();
        for (int i = 0; i < SOCKETS; i++) {
            kept.add(new FastCgiClient(proxy.address()));
            kept.get(i).sendRequest(1, "/_health", NO_BODY);
            assertTrue(kept.get(i).readResponse().startsWith("1 Status: 200"));
        }
        assertEquals("closed", kept.get(0).readResponse());
        fetch.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertTrue(client.readResponse().endsWith("one"));
        for (FastCgiClient connection : kept) {
            connection.close();
        }
    }

    /**
     * A proxy that waits for the processor sees a connection as idle while its next request lies unread in the kernel:
     * to close it then, for room or as idle, loses a request that was accepted.
     */
    @Test
    void longestIdleConnectionIsKeptWhereItsRequestLiesUnread() throws IOException, InterruptedException {
        int capacity = SOCKETS * 2 / 5;
        List<FastCgiClient> kept = new ArrayList<>();
        for (int i = 0; i < capacity - 2; i++) {
            kept.add(new FastCgiClient(proxy.address()));
            kept.get(i).sendRequest(1, "/_health", NO_BODY);
            assertTrue(kept.get(i).readResponse().startsWith("1 Status: 200"));
        }
        whileTheIoThreadIsBlocked(kept.get(0), () -> {
            sendRequest(1, "aaaaaaaaaaaaaaaa", "media");
            // It takes the last place but one, so that the longest idle connection, the first client's, has to make
            // room.
            kept.add(new FastCgiClient(proxy.address()));
            for (int polls = 0; polls < 2000 && acceptedConnections() < capacity; polls++) {
                Thread.sleep(5);
            }
            assertEquals(capacity, acceptedConnections());
        });
        unreadRequestIsServed();
        for (FastCgiClient connection : kept) {
            connection.close();
        }
    }

    @Test
    void idleConnectionIsKeptWhereItsRequestLiesUnread() throws IOException, InterruptedException {
        try (FastCgiClient other = new FastCgiClient(proxy.address())) {
            whileTheIoThreadIsBlocked(other, () -> {
                sendRequest(1, "aaaaaaaaaaaaaaaa", "media");
                clock.advance(5_100_000);
                // Longer than the sweep interval; too short a wait would only make this test weaker.
                Thread.sleep(600);
            });
        }
        unreadRequestIsServed();
    }

    /** A long request takes several reads: the first of them completes no record, and is valid all the same. */
    @Test
    void idleConnectionIsKeptWhileALongRequestIsReceived() throws IOException, InterruptedException {
        byte[] body = "x".repeat(30_000).getBytes();
        try (FastCgiClient other = new FastCgiClient(proxy.address())) {
            whileTheIoThreadIsBlocked(other, () -> {
                client.sendRequestStart(1, "/invoke/stock-move", body, RequestHeaders.of("aaaaaaaaaaaaaaaa"));
                clock.advance(5_100_000);
                Thread.sleep(600);
            });
        }
        // One more sweep, before the two seconds after which an incomplete request times out.
        Thread.sleep(600);
        client.sendRequestEnd(1);
        FakeServer.Line sent = origin.awaitLine();
        assertTrue(
                sent.text().startsWith("fetch aaaaaaaaaaaaaaaa ") && sent.text().endsWith(" 30000"), sent.text());
    }

    /** A connection that always has unread bytes, and never completes a record, times out all the same. */
    @Test
    void endlessInvalidRecordTimesOutThoughSomeOfItAlwaysLiesUnread() throws IOException {
        byte[] invalid = new byte[8 + 60_000];
        invalid[0] = 1;
        invalid[1] = 5;
        invalid[3] = 77;
        invalid[4] = (byte) (60_000 >> 8);
        invalid[5] = (byte) 60_000;
        try (FastCgiClient sender = new FastCgiClient(proxy.address())) {
            sender.sendBytes(invalid);
            clock.advance(2_100_000);
            long deadlineNs = System.nanoTime() + 10_000_000_000L;
            assertThrows(IOException.class, () -> {
                while (System.nanoTime() < deadlineNs) {
                    sender.sendBytes(invalid);
                }
            });
        }
    }

    /** A client counts from its sending: the time in which a request lay unread is taken off its timeout. */
    @Test
    void timeThatARequestLayUnreadIsTakenOffItsTimeout() throws IOException, InterruptedException {
        try (FastCgiClient other = new FastCgiClient(proxy.address())) {
            whileTheIoThreadIsBlocked(other, () -> {
                sendRequest(1, "aaaaaaaaaaaaaaaa", "media");
                Thread.sleep(1_000);
            });
        }
        FakeServer.Line fetch = cache.awaitLine();
        Matcher limit = Pattern.compile("limit=(\\d+)").matcher(fetch.text());
        assertTrue(limit.find() && Integer.parseInt(limit.group(1)) <= 59_000, fetch.text());
        fetch.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertTrue(client.readResponse().endsWith("one"));
    }

    private void unreadRequestIsServed() throws IOException, InterruptedException {
        cache.awaitLine().reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertTrue(client.readResponse().endsWith("one"));
    }

    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    /** Blocks the I/O thread at the clock, while it reads a request of {@code other}. */
    private void whileTheIoThreadIsBlocked(FastCgiClient other, Action action)
            throws IOException, InterruptedException {
        clock.holdIoThread();
        try {
            other.sendRequest(2, "/_health", NO_BODY);
            while (!clock.isIoThreadHeld()) {
                Thread.sleep(1);
            }
            action.run();
        } finally {
            clock.releaseIoThread();
        }
    }

    /**
     * On a busy machine, the accepting thread used to accept all connections while the I/O thread waited for the
     * processor, until the process had no descriptor left. The sockets accepted are counted from outside.
     */
    @Test
    void acceptedConnectionsStayWithinTheBudgetWhileTheIoThreadIsBlocked() throws IOException, InterruptedException {
        int capacity = SOCKETS * 2 / 5;
        clock.holdIoThread();
        List<FastCgiClient> clients = new ArrayList<>();
        long accepted;
        try {
            for (int i = 0; i < 4 * capacity; i++) {
                clients.add(new FastCgiClient(proxy.address()));
                clients.get(i).sendRequest(1, "/_health", NO_BODY);
            }
            // The budget fills; the longer wait after that is for connections that must not be accepted.
            for (int polls = 0; polls < 4000 && acceptedConnections() < capacity - 1; polls++) {
                Thread.sleep(5);
            }
            Thread.sleep(200);
            accepted = acceptedConnections();
        } finally {
            clock.releaseIoThread();
        }
        assertTrue(accepted <= capacity && accepted >= capacity - 1, accepted + " accepted of a budget of " + capacity);
        for (FastCgiClient connection : clients) {
            String answer = connection.readResponse();
            assertTrue(answer.startsWith("1 Status: 200"), "number " + clients.indexOf(connection) + ": " + answer);
            connection.close();
        }
    }

    /** Connections to the proxy that a process has accepted: those still in the kernel's accept queue have no inode. */
    private long acceptedConnections() throws IOException {
        String port = String.format(":%04X", proxy.address().getPort());
        try (Stream<String> lines = Stream.concat(
                Files.lines(Path.of("/proc/self/net/tcp")), Files.lines(Path.of("/proc/self/net/tcp6")))) {
            return lines.map(line -> line.trim().split("\\s+"))
                    .filter(fields ->
                            fields[1].endsWith(port) && fields[3].equals(ESTABLISHED) && !fields[9].equals(NO_INODE))
                    .count();
        }
    }
}
