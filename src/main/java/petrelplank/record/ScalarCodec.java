package petrelplank.record;

import java.io.IOException;
import org.apache.avro.Schema;
import org.apache.avro.io.Encoder;

/** Encodes boxed numbers and booleans, which occur as elements of lists and as nullable components. */
enum ScalarCodec implements ValueCodec {
    LONG(Schema.Type.LONG) {
        @Override
        public void write(Object value, Encoder encoder) throws IOException {
            encoder.writeLong((Long) value);
        }
    },
    INT(Schema.Type.INT) {
        @Override
        public void write(Object value, Encoder encoder) throws IOException {
            encoder.writeInt((Integer) value);
        }
    },
    DOUBLE(Schema.Type.DOUBLE) {
        @Override
        public void write(Object value, Encoder encoder) throws IOException {
            encoder.writeDouble((Double) value);
        }
    },
    BOOLEAN(Schema.Type.BOOLEAN) {
        @Override
        public void write(Object value, Encoder encoder) throws IOException {
            encoder.writeBoolean((Boolean) value);
        }
    };

    private final Schema schema;

    ScalarCodec(Schema.Type type) {
        schema = Schema.create(type);
    }

    @Override
    public Schema schema() {
        return schema;
    }

    @Override
    public Object read(Object decoded) {
        return decoded;
    }
}
