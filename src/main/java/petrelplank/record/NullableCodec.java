package petrelplank.record;

import java.io.IOException;
import org.apache.avro.Schema;
import org.apache.avro.io.Encoder;

/** Encodes a value that may be null as an Avro union of null and the value's schema. */
final class NullableCodec implements ValueCodec {
    private static final int NULL_BRANCH = 0;
    private static final int VALUE_BRANCH = 1;

    private final ValueCodec valueCodec;
    private final Schema schema;

    NullableCodec(ValueCodec valueCodec) {
        this.valueCodec = valueCodec;
        this.schema = Schema.createUnion(Schema.create(Schema.Type.NULL), valueCodec.schema());
    }

    @Override
    public Schema schema() {
        return schema;
    }

    @Override
    public void write(Object value, Encoder encoder) throws IOException {
        if (value == null) {
            encoder.writeIndex(NULL_BRANCH);
        } else {
            encoder.writeIndex(VALUE_BRANCH);
            valueCodec.write(value, encoder);
        }
    }

    @Override
    public Object read(Object decoded) {
        return decoded == null ? null : valueCodec.read(decoded);
    }
}
