package petrelplank.record;

import java.io.IOException;
import org.apache.avro.Schema;
import org.apache.avro.io.Encoder;

/** Translates the values of one Java type to and from Avro. */
interface ValueCodec {
    /** The Avro schema of the type. */
    Schema schema();

    /** Encodes a value. */
    void write(Object value, Encoder encoder) throws IOException;

    /** The Java value of what Avro's generic reader decoded by {@link #schema}. */
    Object read(Object decoded);
}
