package petrelplank.record;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.apache.avro.Schema;
import org.apache.avro.io.Encoder;
import org.apache.avro.util.Utf8;

/**
 * Encodes strings. The same names of proxies, endpoints and service classes recur in nearly every event, so the encoded
 * strings are cached.
 */
final class StringCodec implements ValueCodec {
    /** Limits the cache: the request ids of rejected requests are chosen by clients and could fill it without bound. */
    private static final int MAX_CACHED_STRINGS = 4096;

    private final Schema schema = Schema.create(Schema.Type.STRING);
    private final Map<String, Utf8> encodedStrings = new HashMap<>();

    @Override
    public Schema schema() {
        return schema;
    }

    @Override
    public void write(Object value, Encoder encoder) throws IOException {
        encoder.writeString(encode((String) value));
    }

    private Utf8 encode(String text) {
        Utf8 cached = encodedStrings.get(text);
        if (cached == null) {
            if (encodedStrings.size() >= MAX_CACHED_STRINGS) {
                encodedStrings.clear();
            }
            cached = new Utf8(text);
            encodedStrings.put(text, cached);
        }
        return cached;
    }

    @Override
    public Object read(Object decoded) {
        return decoded.toString();
    }
}
