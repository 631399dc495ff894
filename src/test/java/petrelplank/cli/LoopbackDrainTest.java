package petrelplank.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import petrelplank.settings.Configuration;
import petrelplank.upstream.FakeServer;

/** The planned end of a front, on loopback sockets. */
class LoopbackDrainTest extends LoopbackFixture {
    /** Deadlines differ by site, and SIGKILL comes by the longest: at most 3 s, and 0.7 s more. */
    @Test
    void drainEndsBeforeTheKillThatTheSettingsTell() throws IOException {
        assertTrue(proxy.drain(() -> {}) <= 3_700);
        Files.writeString(file, Files.readString(file).replace("\"deadline-us\":60000000", "\"deadline-us\":900000"));
        ProxyServer shorter = new ProxyServer(Configuration.read(file.toFile()), () -> 0, null);
        assertTrue(shorter.drain(() -> {}) <= 1_600);
        shorter.close();
    }

    @Test
    void drainAnswersWhatIsOpenAndThenEnds() throws IOException, InterruptedException {
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line fetch = cache.next();
        CountDownLatch ended = new CountDownLatch(1);
        proxy.drain(ended::countDown);
        ask(2, "bbbbbbbbbbbbbbbb", "media");
        cache.next();
        fetch.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\nbbbbbbbbbbbbbbbb ACK tell=HIT 3\r\ntwo\r\n");
        assertTrue(client.answer().startsWith("1 Status: 200"));
        assertTrue(client.answer().startsWith("2 Status: 200"));
        ended.await();
    }

    /** Half of it was there at SIGTERM, the rest comes while requests are still taken: it is served. */
    @Test
    void requestThatIsHalfReadAtTheDrainIsServed() throws IOException, InterruptedException {
        client.begin(1, "/invoke/media", NO_BODY, RequestHeaders.of("aaaaaaaaaaaaaaaa"));
        CountDownLatch ended = new CountDownLatch(1);
        proxy.drain(ended::countDown);
        client.end(1);
        cache.next().reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
        assertTrue(client.answer().startsWith("1 Status: 200"));
        assertEquals("closed", client.answer());
        ended.await();
    }

    /** The drain's last answer is final: what is out is called off, and neither a silence nor a reset sends it on. */
    @Test
    void requestThatTheDrainFailsIsCalledOffAndNotSentOn() throws IOException, InterruptedException {
        ask(1, "aaaaaaaaaaaaaaaa", "media");
        FakeServer.Line fetch = cache.next();
        CountDownLatch ended = new CountDownLatch(1);
        proxy.drain(ended::countDown);
        clock.advance(3_600_000);
        String answer = client.answer();
        assertTrue(answer.startsWith("1 Status: 504"), answer);
        assertEquals("abort aaaaaaaaaaaaaaaa", cache.next().text());
        fetch.reset();
        ended.await();
        assertTrue(parent.quiet() && origin.quiet() && cache.quiet());
    }
}
