package petrelplank.record;

import java.io.IOException;

/** Destination of the entries of a sink. Not thread-safe. */
interface RecordOutput {
    /** Appends an entry, possibly to a buffer. */
    void append(Entry entry) throws IOException;

    /** Writes out buffered entries, so that all entries appended so far can be read. */
    void flush() throws IOException;

    /** Returns the number of entries that were lost since the last call, and resets the count. */
    long takeLost();

    /** Writes out buffered entries and releases open files. */
    void close() throws IOException;
}
