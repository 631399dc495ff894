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
import petrelplank.fastcgi.FcgiClient;
import petrelplank.upstream.FakeServer;

/** Clients' connections and what they may take up, on loopback sockets. */
class LoopbackConnectionsTest extends LoopbackFixture {
    @Test
    void silentAndHalfSentRequestsAreClosedInTimeAndOwedAnswersAreNot() throws IOException, InterruptedException {
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line fetch = cache.next();
        try (FcgiClient silent = new FcgiClient(proxy.address());
                FcgiClient half = new FcgiClient(proxy.address());
                FcgiClient idle = new FcgiClient(proxy.address())) {
            half.raw(new byte[] {1, 1, 0, 1, 0, 8, 0, 0, 0, 1});
            idle.ask(1, "/_health", NO_BODY);
            idle.answer();
            clock.advance(2_100_000);
            assertEquals("closed", silent.answer());
            assertEquals("closed", half.answer());
            idle.ask(2, "/_health", NO_BODY);
            assertTrue(idle.answer().startsWith("2 Status: 200"));
            clock.advance(5_100_000);
            assertEquals("closed", idle.answer());
        }
        fetch.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertTrue(client.answer().endsWith("one"));
    }

    /** Clients that ask once and stay must not keep others out, nor cost those that are owed an answer theirs. */
    @Test
    void quietestConnectionMakesRoomAtTheLimit() throws IOException, InterruptedException {
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line fetch = cache.next();
        List<FcgiClient> kept = new ArrayList<>();
        for (int i = 0; i < SOCKETS; i++) {
            kept.add(new FcgiClient(proxy.address()));
            kept.get(i).ask(1, "/_health", NO_BODY);
            assertTrue(kept.get(i).answer().startsWith("1 Status: 200"));
        }
        assertEquals("closed", kept.get(0).answer());
        fetch.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertTrue(client.answer().endsWith("one"));
        for (FcgiClient one : kept) {
            one.close();
        }
    }

    /**
     * A front that waits for the processor sees a connection as quiet while its next request lies unread in the
     * machine: to close it then, for room or as idle, loses a request that was taken.
     */
    @Test
    void quietestConnectionIsKeptWhereItsRequestLiesUnread() throws IOException, InterruptedException {
        int most = SOCKETS * 2 / 5;
        List<FcgiClient> kept = new ArrayList<>();
        for (int i = 0; i < most - 2; i++) {
            kept.add(new FcgiClient(proxy.address()));
            kept.get(i).ask(1, "/_health", NO_BODY);
            assertTrue(kept.get(i).answer().startsWith("1 Status: 200"));
        }
        whileTheIoThreadIsHeldUp(kept.get(0), () -> {
            ask(1, "aaaaaaaaaaaaaaaa", "media");
            // Its place is the last but one, so that the quietest, which is the first client's, shall make room.
            kept.add(new FcgiClient(proxy.address()));
            for (int looks = 0; looks < 2000 && taken() < most; looks++) {
                Thread.sleep(5);
            }
            assertEquals(most, taken());
        });
        answersTheRequestThatLayUnread();
        for (FcgiClient one : kept) {
            one.close();
        }
    }

    @Test
    void idleConnectionIsKeptWhereItsRequestLiesUnread() throws IOException, InterruptedException {
        try (FcgiClient other = new FcgiClient(proxy.address())) {
            whileTheIoThreadIsHeldUp(other, () -> {
                ask(1, "aaaaaaaaaaaaaaaa", "media");
                clock.advance(5_100_000);
                // Longer than the sweep's period; too short a wait would only make this test weaker.
                Thread.sleep(600);
            });
        }
        answersTheRequestThatLayUnread();
    }

    /** A long request takes several reads: the first of them makes nothing whole, and is no junk. */
    @Test
    void idleConnectionIsKeptWhileALongRequestComesInOnIt() throws IOException, InterruptedException {
        byte[] move = "x".repeat(30_000).getBytes();
        try (FcgiClient other = new FcgiClient(proxy.address())) {
            whileTheIoThreadIsHeldUp(other, () -> {
                client.begin(1, "/invoke/stock-move", move, RequestHeaders.of("aaaaaaaaaaaaaaaa"));
                clock.advance(5_100_000);
                Thread.sleep(600);
            });
        }
        // The sweep comes by again, before the two seconds that a half request has.
        Thread.sleep(600);
        client.end(1);
        FakeServer.Line sent = origin.next();
        assertTrue(
                sent.text().startsWith("fetch aaaaaaaaaaaaaaaa ") && sent.text().endsWith(" 30000"), sent.text());
    }

    /** What always has something unread, and never anything whole, is closed in time all the same. */
    @Test
    void endlessJunkIsClosedThoughSomeOfItAlwaysLiesUnread() throws IOException {
        byte[] junk = new byte[8 + 60_000];
        junk[0] = 1;
        junk[1] = 5;
        junk[3] = 77;
        junk[4] = (byte) (60_000 >> 8);
        junk[5] = (byte) 60_000;
        try (FcgiClient bad = new FcgiClient(proxy.address())) {
            bad.raw(junk);
            clock.advance(2_100_000);
            long untilNs = System.nanoTime() + 10_000_000_000L;
            assertThrows(IOException.class, () -> {
                while (System.nanoTime() < untilNs) {
                    bad.raw(junk);
                }
            });
        }
    }

    /** A client counts from its sending: what lay unread while the front was held up has so much less time left. */
    @Test
    void timeThatARequestLayUnreadIsTakenOffItsPatience() throws IOException, InterruptedException {
        try (FcgiClient other = new FcgiClient(proxy.address())) {
            whileTheIoThreadIsHeldUp(other, () -> {
                ask(1, "aaaaaaaaaaaaaaaa", "media");
                Thread.sleep(1_000);
            });
        }
        FakeServer.Line fetch = cache.next();
        Matcher limit = Pattern.compile("limit=(\\d+)").matcher(fetch.text());
        assertTrue(limit.find() && Integer.parseInt(limit.group(1)) <= 59_000, fetch.text());
        fetch.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertTrue(client.answer().endsWith("one"));
    }

    private void answersTheRequestThatLayUnread() throws IOException, InterruptedException {
        cache.next().reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertTrue(client.answer().endsWith("one"));
    }

    private interface Meanwhile {
        void happens() throws IOException, InterruptedException;
    }

    /** The I/O thread is held at the clock while it reads a request of {@code asker}. */
    private void whileTheIoThreadIsHeldUp(FcgiClient asker, Meanwhile what) throws IOException, InterruptedException {
        clock.holdIoThread();
        try {
            asker.ask(2, "/_health", NO_BODY);
            while (!clock.isIoThreadHeld()) {
                Thread.sleep(1);
            }
            what.happens();
        } finally {
            clock.releaseIoThread();
        }
    }

    /**
     * On a crowded machine, the accepting thread took all that came while the I/O thread waited for its turn, until
     * the process had no descriptor left. The sockets that the front has taken are counted from outside.
     */
    @Test
    void connectionsTakenStayWithinTheShareWhileTheIoThreadIsHeldUp() throws IOException, InterruptedException {
        int most = SOCKETS * 2 / 5;
        clock.holdIoThread();
        List<FcgiClient> crowd = new ArrayList<>();
        long held;
        try {
            for (int i = 0; i < 4 * most; i++) {
                crowd.add(new FcgiClient(proxy.address()));
                crowd.get(i).ask(1, "/_health", NO_BODY);
            }
            // The share fills; the longer look after that is for what must not come.
            for (int looks = 0; looks < 4000 && taken() < most - 1; looks++) {
                Thread.sleep(5);
            }
            Thread.sleep(200);
            held = taken();
        } finally {
            clock.releaseIoThread();
        }
        assertTrue(held <= most && held >= most - 1, held + " taken of a share of " + most);
        for (FcgiClient one : crowd) {
            String answer = one.answer();
            assertTrue(answer.startsWith("1 Status: 200"), "number " + crowd.indexOf(one) + ": " + answer);
            one.close();
        }
    }

    /** Connections to the front that a process has taken: those still in the machine's queue have no inode. */
    private long taken() throws IOException {
        String port = String.format(":%04X", proxy.address().getPort());
        try (Stream<String> lines = Stream.concat(
                Files.lines(Path.of("/proc/self/net/tcp")), Files.lines(Path.of("/proc/self/net/tcp6")))) {
            return lines.map(line -> line.trim().split("\\s+"))
                    .filter(f -> f[1].endsWith(port) && f[3].equals("01") && !f[9].equals("0"))
                    .count();
        }
    }
}
