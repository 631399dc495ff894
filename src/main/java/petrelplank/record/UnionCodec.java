package petrelplank.record;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.avro.Schema;
import org.apache.avro.generic.IndexedRecord;
import org.apache.avro.io.Encoder;

/** Encodes the record types of a sealed interface as an Avro union, in a given order. */
final class UnionCodec implements ValueCodec {
    private record Branch(int index, ValueCodec codec) {}

    private final Schema schema;
    private final Map<Class<?>, Branch> branchesByType = new HashMap<>();
    private final Map<String, ValueCodec> codecsByFullName = new HashMap<>();

    UnionCodec(List<? extends Class<?>> types, ValueCodecs codecs) {
        List<Schema> schemas = new ArrayList<>();
        for (Class<?> type : types) {
            ValueCodec codec = codecs.of(type);
            branchesByType.put(type, new Branch(schemas.size(), codec));
            codecsByFullName.put(codec.schema().getFullName(), codec);
            schemas.add(codec.schema());
        }
        schema = Schema.createUnion(schemas);
    }

    @Override
    public Schema schema() {
        return schema;
    }

    @Override
    public void write(Object value, Encoder encoder) throws IOException {
        Branch branch = branchesByType.get(value.getClass());
        encoder.writeIndex(branch.index);
        branch.codec.write(value, encoder);
    }

    @Override
    public Object read(Object decoded) {
        return codecsByFullName
                .get(((IndexedRecord) decoded).getSchema().getFullName())
                .read(decoded);
    }
}
