package petrelplank.record;

import java.io.IOException;
import org.apache.avro.Schema;
import org.apache.avro.io.Encoder;

/** Converts the values of one Java type to and from Avro. */
interface ValueCodec {
    /** Returns the Avro schema of the type. */
    Schema schema();

    /** Encodes a value. */
    void write(Object value, Encoder encoder) throws IOException;

    /** Converts a value that Avro's generic reader decoded with {@link #schema}. */
    Object read(Object decoded);
}
