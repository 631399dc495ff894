package petrelplank.record;

import java.io.IOException;
import org.apache.avro.Schema;
import org.apache.avro.generic.IndexedRecord;
import org.apache.avro.io.DatumWriter;
import org.apache.avro.io.Encoder;

/**
 * Converts entries to and from Avro. The schema is derived from the components of {@link Entry} and the types of
 * {@link Event}, so that the model is defined only once. Avro types and fields are named by {@link StoredName}.
 */
final class RecordCodec {
    /** The namespace of all named types in the schema; part of the file format. */
    static final String NAMESPACE = "petrelplank.record";

    private final ValueCodec entryCodec = new ValueCodecs().of(Entry.class);

    /** Returns the schema of a record file. */
    Schema schema() {
        return entryCodec.schema();
    }

    /** Converts a record that Avro's generic reader decoded with {@link #schema}. */
    Entry read(IndexedRecord decoded) {
        return (Entry) entryCodec.read(decoded);
    }

    /** Creates a writer that encodes entries directly, without intermediate generic records. */
    DatumWriter<Entry> writer() {
        return new DatumWriter<>() {
            @Override
            public void setSchema(Schema schema) {
                // Ignored: the schema is always the one derived from the model.
            }

            @Override
            public void write(Entry value, Encoder encoder) throws IOException {
                entryCodec.write(value, encoder);
            }
        };
    }
}
