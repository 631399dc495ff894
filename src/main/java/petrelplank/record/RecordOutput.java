package petrelplank.record;

import java.io.IOException;

/** Where a sink writes entries. Confined to one thread. */
interface RecordOutput {
    /** Appends an entry; it may be buffered. */
    void append(Entry entry) throws IOException;

    /** Makes the entries appended so far readable. */
    void flush() throws IOException;

    /** The number of entries that were appended and then lost, since the last call. */
    long takeLost();

    /** Flushes and releases what is open. */
    void close() throws IOException;
}
