package petrelplank.record;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.avro.Schema;
import org.apache.avro.io.Encoder;

/**
 * Encodes the constants of a Java enum as an Avro enum whose symbols are the stored names. Of constants that share a
 * name, the first is read back.
 */
final class EnumCodec implements ValueCodec {
    private final Schema schema;
    private final Map<String, Object> constantsByStoredName = new LinkedHashMap<>();

    EnumCodec(Class<?> type) {
        for (Object constant : type.getEnumConstants()) {
            constantsByStoredName.putIfAbsent(StoredNames.ofConstant((Enum<?>) constant), constant);
        }
        schema = Schema.createEnum(
                StoredNames.ofType(type), null, RecordCodec.NAMESPACE, List.copyOf(constantsByStoredName.keySet()));
    }

    @Override
    public Schema schema() {
        return schema;
    }

    @Override
    public void write(Object value, Encoder encoder) throws IOException {
        encoder.writeEnum(((Enum<?>) value).ordinal());
    }

    @Override
    public Object read(Object decoded) {
        return constantsByStoredName.get(decoded.toString());
    }
}
