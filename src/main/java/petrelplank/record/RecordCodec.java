package petrelplank.record;

import java.io.IOException;
import org.apache.avro.Schema;
import org.apache.avro.generic.IndexedRecord;
import org.apache.avro.io.DatumWriter;
import org.apache.avro.io.Encoder;

/**
 * Translates entries to and from Avro. The schema is derived from the components of {@link Entry} and the types of
 * {@link Event}, so that there is one model; Java records become Avro records by their {@link StoredName}.
 */
final class RecordCodec {
    /** The namespace of all named types in the schema; part of the file format. */
    static final String NAMESPACE = "petrelplank.record";

    private final ValueCodec entry = new ValueCodecs().of(Entry.class);

    /** The schema of a record file. */
    Schema schema() {
        return entry.schema();
    }

    /** The entry that Avro's generic reader decoded by {@link #schema}. */
    Entry read(IndexedRecord decoded) {
        return (Entry) entry.read(decoded);
    }

    /** A writer that encodes entries without generic records in between. */
    DatumWriter<Entry> writer() {
        return new DatumWriter<>() {
            @Override
            public void setSchema(Schema schema) {
                // The schema is fixed by the model.
            }

            @Override
            public void write(Entry value, Encoder encoder) throws IOException {
                entry.write(value, encoder);
            }
        };
    }
}
