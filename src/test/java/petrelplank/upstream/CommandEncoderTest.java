package petrelplank.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import petrelplank.proxy.UpstreamRequest;

class CommandEncoderTest {
    private static final long LIMIT_MS = 900;

    @Test
    void unsetFieldsAreOmitted() {
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
        assertEquals("fetch 9b1f cls=media,item=7f3a9c21e0b4d655,chunk=3,limit=900 0\r\n\r\n", encoded(plain));
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
                "ab".getBytes(StandardCharsets.ISO_8859_1),
                false);
        assertEquals(
                "fetch 9b1f cls=pages,item=7f3a9c21e0b4d655,chunk=0,limit=900,from=s-1,rank=2,oldest=1500,"
                        + "mode=share+peek+swr,seen=4be0,nonce=5c0f 2\r\nab\r\n",
                encoded(full));
    }

    private static String encoded(UpstreamRequest request) {
        return new String(CommandEncoder.encodeFetch(request, LIMIT_MS), StandardCharsets.ISO_8859_1);
    }
}
