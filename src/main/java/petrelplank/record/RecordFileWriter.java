package petrelplank.record;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.UUID;
import org.apache.avro.file.CodecFactory;
import org.apache.avro.file.DataFileWriter;

/**
 * Writes entries to Avro object container files, which are rotated by size and age. Takes the time from the entries and
 * reads no clock. Not thread-safe.
 */
final class RecordFileWriter implements RecordOutput {
    /** Bytes between sync markers, which is the most that a truncated file loses. */
    private static final int BLOCK_BYTES = 32 << 10;
    /** The size of the file is checked once in this many entries, since each check is a system call. */
    private static final int ENTRIES_PER_SIZE_CHECK = 256;

    private static final int SYNC_MARKER_BYTES = 16;
    private static final int DEFLATE_LEVEL = 1;
    private static final long RETRY_INTERVAL_US = 1_000_000;
    private static final long NEVER_US = Long.MIN_VALUE / 2;

    /** Creates files. Tests replace it to simulate a failing disk. */
    interface FileOpener {
        OutputStream create(Path file) throws IOException;
    }

    private final RecordSettings settings;
    private final RecordDirectory directory;
    private final FileOpener opener;
    private final RecordCodec codec = new RecordCodec();
    /** Null if no file is open. */
    private DataFileWriter<Entry> writer;

    private Path file;
    private long openedUs;
    private long lastFlushUs;
    private long appendedEntries;
    /** Entries appended since the last flush. They are lost if the file is abandoned. */
    private long unflushedEntries;

    private long lostEntries;
    /** Time of the last failure to write to a file or to create one. */
    private long lastFailureUs = NEVER_US;

    RecordFileWriter(RecordSettings settings, String proxy, long incarnation) {
        this(settings, proxy, incarnation, RecordFileWriter::createNew);
    }

    RecordFileWriter(RecordSettings settings, String proxy, long incarnation, FileOpener opener) {
        this.settings = settings;
        this.directory = new RecordDirectory(settings, proxy, incarnation);
        this.opener = opener;
    }

    private static OutputStream createNew(Path file) throws IOException {
        return Files.newOutputStream(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
    }

    /**
     * Appends an entry. If the write fails, the file is abandoned and its unflushed entries are lost. A new file is
     * created one second later at the earliest, so that a full disk does not fill up with empty files; entries that
     * arrive before then are lost.
     *
     * @throws IOException once for each file that is abandoned or cannot be created
     */
    @Override
    public void append(Entry entry) throws IOException {
        long nowUs = entry.unixUs();
        try {
            if (writer != null && rotationDue(nowUs)) {
                close();
            }
            if (writer == null && nowUs - lastFailureUs < RETRY_INTERVAL_US) {
                lostEntries++;
                return;
            }
            write(entry);
        } catch (IOException | RuntimeException failure) {
            lastFailureUs = nowUs;
            abandon();
            throw failure instanceof IOException ioFailure ? ioFailure : new IOException(failure);
        }
    }

    private boolean rotationDue(long nowUs) throws IOException {
        return nowUs - openedUs > settings.maxFileAgeUs() || sizeLimitReached();
    }

    private boolean sizeLimitReached() throws IOException {
        return ++appendedEntries % ENTRIES_PER_SIZE_CHECK == 0
                && Files.exists(file)
                && Files.size(file) > settings.fileBytes();
    }

    private void write(Entry entry) throws IOException {
        long nowUs = entry.unixUs();
        unflushedEntries++;
        if (writer == null) {
            open();
            openedUs = nowUs;
            lastFlushUs = nowUs;
            lastFailureUs = NEVER_US;
        }
        writer.append(entry);
        if (nowUs - lastFlushUs > settings.flushUs()) {
            flush();
            lastFlushUs = nowUs;
        }
    }

    private void open() throws IOException {
        file = directory.nextFile();
        DataFileWriter<Entry> created = new DataFileWriter<>(codec.writer());
        if (settings.compress()) {
            created.setCodec(CodecFactory.deflateCodec(DEFLATE_LEVEL));
        }
        created.setSyncInterval(BLOCK_BYTES);
        OutputStream out = opener.create(file);
        try {
            created.create(codec.schema(), out, syncMarker());
        } catch (IOException | RuntimeException failure) {
            try (out) {
                Files.deleteIfExists(file);
            }
            throw failure;
        }
        writer = created;
    }

    /** Derives the marker between blocks from the file name, so that repeating a run writes the same bytes. */
    private byte[] syncMarker() {
        byte[] marker = new byte[SYNC_MARKER_BYTES];
        UUID hash = UUID.nameUUIDFromBytes(file.getFileName().toString().getBytes(StandardCharsets.UTF_8));
        ByteBuffer.wrap(marker).putLong(hash.getMostSignificantBits()).putLong(hash.getLeastSignificantBits());
        return marker;
    }

    /** Writes the buffered entries to the file. If that fails, the file is abandoned. */
    @Override
    public void flush() throws IOException {
        if (writer == null) {
            return;
        }
        try {
            writer.flush();
            unflushedEntries = 0;
        } catch (IOException | RuntimeException failure) {
            abandon();
            throw failure;
        }
    }

    @Override
    public void close() throws IOException {
        if (writer != null) {
            DataFileWriter<Entry> closing = writer;
            writer = null;
            closing.close();
            unflushedEntries = 0;
        }
    }

    @Override
    public long takeLost() {
        long taken = lostEntries;
        lostEntries = 0;
        return taken;
    }

    private void abandon() {
        DataFileWriter<Entry> abandoned = writer;
        writer = null;
        lostEntries += unflushedEntries;
        unflushedEntries = 0;
        if (abandoned != null) {
            try {
                abandoned.close();
            } catch (IOException | RuntimeException failure) {
                // Ignored: the caller already reports the failure that made it abandon the file.
            }
        }
    }
}
