package petrelplank.record;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.apache.avro.Schema;
import org.apache.avro.io.Encoder;

/** Encodes Java lists as Avro arrays. */
final class ListCodec implements ValueCodec {
    private final ValueCodec element;
    private final Schema schema;

    ListCodec(ValueCodec element) {
        this.element = element;
        this.schema = Schema.createArray(element.schema());
    }

    @Override
    public Schema schema() {
        return schema;
    }

    @Override
    public void write(Object value, Encoder encoder) throws IOException {
        List<?> elements = (List<?>) value;
        encoder.writeArrayStart();
        encoder.setItemCount(elements.size());
        for (Object one : elements) {
            encoder.startItem();
            element.write(one, encoder);
        }
        encoder.writeArrayEnd();
    }

    @Override
    public Object read(Object decoded) {
        List<Object> elements = new ArrayList<>();
        for (Object one : (Iterable<?>) decoded) {
            elements.add(element.read(one));
        }
        return List.copyOf(elements);
    }
}
