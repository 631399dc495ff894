package petrelplank.upstream;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import petrelplank.proxy.UpstreamRequest;
import petrelplank.proxy.UpstreamResponse;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;
import petrelplank.wire.Cuts;

class ResponseParserTest {
    private static final byte[] ANSWERS = bytes("r1 ACK ver=ab,born=17,tell=MISS_ORIGIN,waited=12.5,"
            + "meter=concurrent:7;x1:0.61 5\r\na\r\nb\n\r\nr2 NOMOD ver=4be0,tell=HIT 0\r\n\r\nr3 NOENT - 0\r\n\r\n"
            + "r4 AGAIN tell=UP_BUSY 0\r\n\r\nr5 EIO - 0\r\n\r\nr6 STALE - 0\r\n\r\n");
    private final List<UpstreamResponse> answers = new ArrayList<>();
    private final ResponseParser parser = new ResponseParser(List.of("concurrent", "x0", "x1"));

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Property(seed = "11", tries = 300)
    void answersCutAnywhereAreRead(@ForAll long cuts) {
        answers.clear();
        Cuts.feed(ANSWERS, cuts, in -> parser.feed(in, answers::add));
        assertEquals(
                List.of(
                        AttemptStatus.OK,
                        AttemptStatus.OK,
                        AttemptStatus.MISS,
                        AttemptStatus.REJECTED,
                        AttemptStatus.ERROR,
                        AttemptStatus.NOT_SENT),
                answers.stream().map(UpstreamResponse::status).toList());
        UpstreamResponse first = answers.get(0);
        assertEquals("r1", first.id());
        assertEquals(CacheStatus.FILLED_FROM_ORIGIN, first.cacheStatus());
        assertEquals(12_500, first.sourceWaitUs());
        assertArrayEquals(new double[] {7, 0, 0.61}, first.load());
        assertArrayEquals(bytes("a\r\nb\n"), first.body());
        assertTrue(answers.get(1).notModified());
        assertEquals("4be0", answers.get(1).tag());
    }

    @Property(seed = "12", tries = 2000)
    void spoiltAnswersAreTakenOrRefused(@ForAll long seed) {
        ResponseParser fresh = new ResponseParser(List.of("x0"));
        assertTrue(Cuts.survives(
                Cuts.spoil(ANSWERS, seed), seed, MalformedException.class, in -> fresh.feed(in, a -> {})));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "r ACK - 240001\r\n",
                "r ACK - -1\r\n",
                "r ACK - 9999999999\r\n",
                "r WHAT - 0\r\n",
                "r ACK 0\r\n",
                "r ACK - 0\n",
                "r ACK - 1\r\nabc",
                "r ACK waited=x 0\r\n",
                "r ACK meter=x0:NaN 0\r\n",
                " ACK - 0\r\n"
            })
    void badAnswersAreRefused(String text) {
        assertThrows(MalformedException.class, () -> parser.feed(ByteBuffer.wrap(bytes(text)), answers::add));
    }

    @Test
    void endlessLineIsRefused() {
        assertThrows(
                MalformedException.class,
                () -> parser.feed(ByteBuffer.wrap(new byte[ResponseParser.LONGEST_LINE + 1]), answers::add));
    }

    @Test
    void commandsNameOnlyWhatIsAsked() {
        UpstreamRequest plain = new UpstreamRequest(
                "9b1f",
                "media",
                "7f3a9c21e0b4d655",
                3,
                null,
                0,
                0,
                false,
                false,
                false,
                null,
                null,
                new byte[0],
                false);
        assertEquals("fetch 9b1f cls=media,item=7f3a9c21e0b4d655,chunk=3,limit=900 0\r\n\r\n", text(plain));
        UpstreamRequest full = new UpstreamRequest(
                "9b1f",
                "pages",
                "7f3a9c21e0b4d655",
                0,
                "s-1",
                2,
                1500,
                true,
                true,
                true,
                "4be0",
                "5c0f",
                bytes("ab"),
                false);
        assertEquals(
                "fetch 9b1f cls=pages,item=7f3a9c21e0b4d655,chunk=0,limit=900,from=s-1,rank=2,oldest=1500,"
                        + "mode=share+peek+swr,seen=4be0,nonce=5c0f 2\r\nab\r\n",
                text(full));
    }

    private static String text(UpstreamRequest fetch) {
        return new String(CommandEncoder.request(fetch, 900), StandardCharsets.ISO_8859_1);
    }
}
