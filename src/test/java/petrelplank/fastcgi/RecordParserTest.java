package petrelplank.fastcgi;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import petrelplank.proxy.ClientResponse;
import petrelplank.wire.Cuts;

class RecordParserTest implements RequestAssembler.Listener {
    private final List<String> heard = new ArrayList<>();
    private final AtomicLong together = new AtomicLong();
    private int owed;

    /** Two requests whose records are mixed, one of them with padding, and an abort of a third. */
    private static byte[] twoRequests() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int id = 1; id <= 3; id++) {
            out.writeBytes(RecordEncoder.record(FastCgiRecord.BEGIN_REQUEST, id, new byte[] {0, 1, 1, 0, 0, 0, 0, 0}));
        }
        byte[] params = {
            11,
            3,
            'S',
            'C',
            'R',
            'I',
            'P',
            'T',
            '_',
            'N',
            'A',
            'M',
            'E',
            '/',
            'a',
            'b',
            1,
            (byte) 0x80,
            0,
            0,
            1,
            'X',
            'y'
        };
        out.writeBytes(RecordEncoder.record(FastCgiRecord.PARAMS, 1, params));
        out.writeBytes(RecordEncoder.record(FastCgiRecord.PARAMS, 2, new byte[0]));
        out.writeBytes(RecordEncoder.record(FastCgiRecord.PARAMS, 1, new byte[0]));
        out.writeBytes(new byte[] {1, FastCgiRecord.STDIN, 0, 1, 0, 2, 3, 0, 'h', 'i', 0, 0, 0});
        out.writeBytes(RecordEncoder.record(FastCgiRecord.ABORT_REQUEST, 3, new byte[0]));
        out.writeBytes(RecordEncoder.record(FastCgiRecord.STDIN, 2, new byte[0]));
        out.writeBytes(RecordEncoder.record(FastCgiRecord.STDIN, 1, new byte[0]));
        return out.toByteArray();
    }

    @Property(seed = "21", tries = 300)
    void requestsCutAnywhereAreRead(@ForAll long cuts) {
        heard.clear();
        RecordParser parser = new RecordParser();
        RequestAssembler assembler = new RequestAssembler(this, together, 1 << 20);
        Cuts.feed(twoRequests(), cuts, in -> parser.feed(in, assembler::take));
        assertEquals(List.of("abort 3", "request 2 {} ", "request 1 {SCRIPT_NAME=/ab, X=y} hi"), heard);
        assertEquals(0, together.get());
    }

    @Property(seed = "22", tries = 2000)
    void spoiltRequestsAreTakenOrRefused(@ForAll long seed) {
        RecordParser parser = new RecordParser();
        RequestAssembler assembler = new RequestAssembler(this, new AtomicLong(), 1 << 20);
        assertTrue(Cuts.survives(
                Cuts.spoil(twoRequests(), seed),
                seed,
                MalformedException.class,
                in -> parser.feed(in, assembler::take)));
        heard.clear();
    }

    @Test
    void largeAnswerIsCutIntoRecordsThatReadBackWhole() {
        byte[] body = new byte[240_000];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) (i * 31);
        }
        ByteArrayOutputStream stdout = new ByteArrayOutputStream();
        List<Integer> types = new ArrayList<>();
        new RecordParser()
                .feed(
                        ByteBuffer.wrap(
                                RecordEncoder.answer(7, new ClientResponse(ClientResponse.Kind.SERVED, body, 0))),
                        r -> {
                            types.add(r.type());
                            if (r.type() == FastCgiRecord.STDOUT) {
                                stdout.writeBytes(r.content());
                            }
                        });
        assertEquals(FastCgiRecord.END_REQUEST, types.get(types.size() - 1));
        byte[] all = stdout.toByteArray();
        String head = new String(all, 0, all.length - body.length, StandardCharsets.ISO_8859_1);
        assertTrue(head.startsWith("Status: 200") && head.endsWith("\r\n\r\n"), head);
        assertArrayEquals(body, java.util.Arrays.copyOfRange(all, all.length - body.length, all.length));
    }

    @Test
    void refusalTellsWhenToComeBack() {
        String text = new String(RecordEncoder.answer(1, ClientResponse.refused(250)), StandardCharsets.ISO_8859_1);
        assertTrue(text.contains("Status: 503") && text.contains("Retry-After-Ms: 250\r\n"), text);
    }

    @Test
    void otherRolesAndTooManyBytesAreDeclinedByProtocolStatus() {
        RequestAssembler assembler = new RequestAssembler(this, new AtomicLong(5), 4);
        assembler.take(new FastCgiRecord(FastCgiRecord.BEGIN_REQUEST, 1, new byte[] {0, 2, 0, 0, 0, 0, 0, 0}));
        assembler.take(new FastCgiRecord(FastCgiRecord.BEGIN_REQUEST, 2, new byte[] {0, 1, 1, 0, 0, 0, 0, 0}));
        assertEquals(List.of("declined 1 3", "declined 2 2"), heard);
        assertThrows(
                MalformedException.class,
                () -> assembler.take(new FastCgiRecord(FastCgiRecord.BEGIN_REQUEST, 3, new byte[7])));
    }

    @Test
    void moreRequestsThanAConnectionCarriesAreDeclined() {
        RequestAssembler assembler = new RequestAssembler(this, together, 1 << 20);
        owed = RequestAssembler.MOST_OPEN - 1;
        for (int id = 1; id <= 2; id++) {
            assembler.take(new FastCgiRecord(FastCgiRecord.BEGIN_REQUEST, id, new byte[] {0, 1, 1, 0, 0, 0, 0, 0}));
        }
        assertEquals(List.of("declined 2 2"), heard);
    }

    /** Figures out of range once overflowed the deadline, and lengths that don't fit were passed on. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP_X_TIMEOUT_MS=9223372036854775",
                "HTTP_X_TIMEOUT_MS=-5",
                "HTTP_X_TIMEOUT_MS=+5",
                "HTTP_X_TIMEOUT_MS=",
                "HTTP_X_N=1.5",
                "HTTP_X_N=99999999999",
                "HTTP_X_SHARD=many",
                "HTTP_X_MEMORY_KB=-1",
                "HTTP_X_MEMORY_KB=NaN",
                "HTTP_X_MEMORY_KB=1e400",
                "HTTP_X_MEMORY_KB=9999999999",
                "HTTP_X_MEMORY_KB=12 ",
                "CONTENT_LENGTH=3",
                "CONTENT_LENGTH=-1",
                "SCRIPT_NAME=/invoke",
                "SCRIPT_NAME=/other/media"
            })
    void parametersThatMakeNoRequestAreTold(String changed) {
        Map<String, String> params = new HashMap<>(Map.of(
                "SCRIPT_NAME",
                "/invoke/media",
                "CONTENT_LENGTH",
                "2",
                "HTTP_X_REQUEST_ID",
                "9b1f03aa5c7e2d41",
                "HTTP_X_TIMEOUT_MS",
                "1500",
                "HTTP_X_OBJECT",
                "7f3a9c21e0b4d655",
                "HTTP_X_N",
                "0",
                "HTTP_X_SHARD",
                "17"));
        byte[] body = {'h', 'i'};
        assertEquals(1_500_000, new RequestDecoder(1).decode(params, body).timeoutUs());
        params.put("HTTP_X_MEMORY_KB", "412.5");
        assertEquals(206.25, new RequestDecoder(0.5).decode(params, body).sizeKb());
        int equals = changed.indexOf('=');
        params.put(changed.substring(0, equals), changed.substring(equals + 1));
        assertNull(new RequestDecoder(1).decode(params, body));
    }

    @Override
    public void request(int id, boolean keep, Map<String, String> params, byte[] body) {
        heard.add("request " + id + " " + params + " " + new String(body, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void abort(int id) {
        heard.add("abort " + id);
    }

    @Override
    public void management(FastCgiRecord record) {
        heard.add("management " + record.type());
    }

    @Override
    public void declined(int id, int status, boolean keep) {
        heard.add("declined " + id + " " + status);
    }

    @Override
    public boolean open(int id) {
        return false;
    }

    @Override
    public int owed() {
        return owed;
    }
}
