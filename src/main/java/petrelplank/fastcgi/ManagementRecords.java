package petrelplank.fastcgi;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Answers FastCGI's management records, which belong to the connection and to no request. Any thread. */
final class ManagementRecords {
    private ManagementRecords() {}

    /** The answer to GET_VALUES, where {@code connections} is the most that clients may hold; UNKNOWN_TYPE to others. */
    static byte[] reply(FastCgiRecord record, int connections) {
        if (record.type() == FastCgiRecord.GET_VALUES) {
            return RecordEncoder.record(FastCgiRecord.GET_VALUES_RESULT, 0, values(record, connections));
        }
        return RecordEncoder.record(
                FastCgiRecord.UNKNOWN_TYPE, 0, new byte[] {(byte) record.type(), 0, 0, 0, 0, 0, 0, 0});
    }

    private static byte[] values(FastCgiRecord record, int connections) {
        Map<String, String> known = Map.of(
                "FCGI_MAX_CONNS",
                Integer.toString(connections),
                "FCGI_MAX_REQS",
                Integer.toString(connections * RequestAssembler.MOST_OPEN),
                "FCGI_MPXS_CONNS",
                "1");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (String name : ParamsDecoder.decode(record.content()).keySet()) {
            if (known.containsKey(name)) {
                out.write(name.length());
                out.write(known.get(name).length());
                out.writeBytes((name + known.get(name)).getBytes(StandardCharsets.ISO_8859_1));
            }
        }
        return out.toByteArray();
    }
}
