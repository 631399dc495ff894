package petrelplank.fastcgi;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelplank.proxy.ClientResponse;

class RecordEncoderTest {
    private static final int LARGE_BODY_BYTES = 240_000;

    @Test
    void largeResponseIsSplitIntoRecordsThatReadBackCompletely() {
        byte[] body = new byte[LARGE_BODY_BYTES];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) (i * 31);
        }
        byte[] encoded = RecordEncoder.encodeResponse(7, new ClientResponse(ClientResponse.Kind.SERVED, body, 0));
        ByteArrayOutputStream stdout = new ByteArrayOutputStream();
        List<Integer> types = new ArrayList<>();
        new RecordParser().feed(ByteBuffer.wrap(encoded), record -> {
            types.add(record.type());
            if (record.type() == FastCgiRecord.STDOUT) {
                stdout.writeBytes(record.content());
            }
        });
        assertEquals(FastCgiRecord.END_REQUEST, types.get(types.size() - 1));
        byte[] response = stdout.toByteArray();
        int headersLength = response.length - body.length;
        String headers = new String(response, 0, headersLength, StandardCharsets.ISO_8859_1);
        assertTrue(headers.startsWith("Status: 200") && headers.endsWith("\r\n\r\n"), headers);
        assertArrayEquals(body, Arrays.copyOfRange(response, headersLength, response.length));
    }

    @Test
    void rejectionHasRetryAfterHeader() {
        byte[] encoded = RecordEncoder.encodeResponse(1, ClientResponse.rejected(250));
        String text = new String(encoded, StandardCharsets.ISO_8859_1);
        assertTrue(text.contains("Status: 503") && text.contains("Retry-After-Ms: 250\r\n"), text);
    }
}
