package petrelplank.fastcgi;

import java.io.ByteArrayOutputStream;
import java.util.Map;

/** Encodes replies to FastCGI management records, which belong to a connection and not to a request. Thread-safe. */
final class ManagementRecords {
    private ManagementRecords() {}

    /**
     * Encodes the reply to a management record: GET_VALUES_RESULT for GET_VALUES, UNKNOWN_TYPE for any other type.
     *
     * @param record the management record
     * @param maxConnections the maximum number of client connections
     */
    static byte[] encodeReply(FastCgiRecord record, int maxConnections) {
        if (record.type() == FastCgiRecord.GET_VALUES) {
            return RecordEncoder.encodeRecord(
                    FastCgiRecord.GET_VALUES_RESULT,
                    FastCgiRecord.NULL_REQUEST_ID,
                    encodeValues(record, maxConnections));
        }
        byte[] unknownType = new byte[FastCgiRecord.FIXED_BODY_LENGTH];
        unknownType[0] = (byte) record.type();
        return RecordEncoder.encodeRecord(FastCgiRecord.UNKNOWN_TYPE, FastCgiRecord.NULL_REQUEST_ID, unknownType);
    }

    private static byte[] encodeValues(FastCgiRecord getValues, int maxConnections) {
        Map<String, String> supportedValues = Map.of(
                "FCGI_MAX_CONNS",
                Integer.toString(maxConnections),
                "FCGI_MAX_REQS",
                Integer.toString(maxConnections * RequestAssembler.MAX_OPEN_REQUESTS),
                "FCGI_MPXS_CONNS",
                "1");
        ByteArrayOutputStream pairs = new ByteArrayOutputStream();
        for (String name : NameValuePairs.decode(getValues.content()).keySet()) {
            if (supportedValues.containsKey(name)) {
                NameValuePairs.append(pairs, name, supportedValues.get(name));
            }
        }
        return pairs.toByteArray();
    }
}
