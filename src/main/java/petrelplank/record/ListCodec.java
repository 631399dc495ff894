package petrelplank.record;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.apache.avro.Schema;
import org.apache.avro.io.Encoder;

/** Encodes Java lists as Avro arrays. */
final class ListCodec implements ValueCodec {
    private final ValueCodec elementCodec;
    private final Schema schema;

    ListCodec(ValueCodec elementCodec) {
        this.elementCodec = elementCodec;
        this.schema = Schema.createArray(elementCodec.schema());
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
        for (Object element : elements) {
            encoder.startItem();
            elementCodec.write(element, encoder);
        }
        encoder.writeArrayEnd();
    }

    @Override
    public Object read(Object decoded) {
        List<Object> elements = new ArrayList<>();
        for (Object element : (Iterable<?>) decoded) {
            elements.add(elementCodec.read(element));
        }
        return List.copyOf(elements);
    }
}
