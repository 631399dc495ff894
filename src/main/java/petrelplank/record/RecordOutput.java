package petrelplank.record;

import java.io.IOException;

/** Where a writer puts entries; of the writer's thread alone. */
interface RecordOutput {
    void append(Entry e) throws IOException;

    /** What was appended can be read from here on. */
    void flush() throws IOException;

    /** Entries that were appended and then lost, since this was last asked. */
    long takeLost();

    void close() throws IOException;
}
