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
 * Writes entries to Avro object container files, rotated by size and age. Reads no clock: the entries' times are its
 * time. Confined to one thread.
 */
final class RecordFileWriter implements RecordOutput {
    /** Bytes between sync markers: at most what a truncated file loses. */
    private static final int BLOCK_BYTES = 32 << 10;
    /** The file's size is read once in so many entries, since that is a system call. */
    private static final int SIZE_CHECK_INTERVAL = 256;

    private static final int SYNC_MARKER_BYTES = 16;
    private static final int DEFLATE_LEVEL = 1;
    private static final long RETRY_INTERVAL_US = 1_000_000;
    private static final long NEVER_US = Long.MIN_VALUE / 2;

    /** Opens files; tests stand in for a broken disk. */
    interface FileOpener {
        OutputStream create(Path file) throws IOException;
    }

    private final RecordSettings settings;
    private final RecordDirectory directory;
    private final FileOpener opener;
    private final RecordCodec codec = new RecordCodec();
    /** Null where no file is open. */
    private DataFileWriter<Entry> writer;

    private Path file;
    private long openedUs;
    private long flushedUs;
    private long appended;
    /** Entries appended since the last flush: lost with the file where it is abandoned. */
    private long unflushed;

    private long lost;
    /** When the disk last failed, or a file was last tried in vain. */
    private long failedUs = NEVER_US;

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
     * Appends an entry. Where the disk fails, the file is abandoned with what was not flushed. The next one is tried a
     * second later at the earliest, lest a full disk be filled with empty files; entries until then are lost.
     *
     * @throws IOException once for each file that is abandoned or can't be created
     */
    @Override
    public void append(Entry entry) throws IOException {
        long nowUs = entry.unixUs();
        try {
            if (writer != null && rotationDue(nowUs)) {
                close();
            }
            if (writer == null && nowUs - failedUs < RETRY_INTERVAL_US) {
                lost++;
                return;
            }
            write(entry);
        } catch (IOException | RuntimeException failure) {
            failedUs = nowUs;
            abandon();
            throw failure instanceof IOException ioFailure ? ioFailure : new IOException(failure);
        }
    }

    private boolean rotationDue(long nowUs) throws IOException {
        return nowUs - openedUs > settings.ageUs() || full();
    }

    private boolean full() throws IOException {
        return ++appended % SIZE_CHECK_INTERVAL == 0 && Files.exists(file) && Files.size(file) > settings.fileBytes();
    }

    private void write(Entry entry) throws IOException {
        long nowUs = entry.unixUs();
        unflushed++;
        if (writer == null) {
            open();
            openedUs = nowUs;
            flushedUs = nowUs;
            failedUs = NEVER_US;
        }
        writer.append(entry);
        if (nowUs - flushedUs > settings.flushUs()) {
            flush();
            flushedUs = nowUs;
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

    /** The marker between blocks is derived from the file's name, so that the same run writes the same bytes. */
    private byte[] syncMarker() {
        byte[] marker = new byte[SYNC_MARKER_BYTES];
        UUID hash = UUID.nameUUIDFromBytes(file.getFileName().toString().getBytes(StandardCharsets.UTF_8));
        ByteBuffer.wrap(marker).putLong(hash.getMostSignificantBits()).putLong(hash.getLeastSignificantBits());
        return marker;
    }

    /** Writes out what is buffered; where that fails, the file is abandoned. */
    @Override
    public void flush() throws IOException {
        if (writer == null) {
            return;
        }
        try {
            writer.flush();
            unflushed = 0;
        } catch (IOException | RuntimeException failure) {
            abandon();
            throw failure;
        }
    }

    @Override
    public void close() throws IOException {
        if (writer != null) {
            DataFileWriter<Entry> open = writer;
            writer = null;
            open.close();
            unflushed = 0;
        }
    }

    @Override
    public long takeLost() {
        long taken = lost;
        lost = 0;
        return taken;
    }

    private void abandon() {
        DataFileWriter<Entry> broken = writer;
        writer = null;
        lost += unflushed;
        unflushed = 0;
        if (broken != null) {
            try {
                broken.close();
            } catch (IOException | RuntimeException failure) {
                // The failure that led here is reported already.
            }
        }
    }
}
