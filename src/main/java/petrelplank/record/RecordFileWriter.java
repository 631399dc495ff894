package petrelplank.record;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.UUID;
import java.util.regex.Pattern;
import org.apache.avro.file.CodecFactory;
import org.apache.avro.file.DataFileWriter;

/**
 * A front's record files in a directory: Avro object container files, cut by size and age, the oldest of the front
 * removed where all together would pass the bound. One thread at a time; reads no clock.
 */
final class RecordFileWriter implements RecordOutput {
    /** The ending of record files. */
    static final String ENDING = ".records.avro";
    /** Bytes between sync markers: what a file cut off may lose. */
    private static final int BLOCK = 32 << 10;

    private static final int SIZE_EVERY = 256;
    private static final int SYNC_BYTES = 16;
    private static final long AGAIN_US = 1_000_000;

    /** Opens files; another one stands in for a broken disk in tests. */
    interface Disk {
        OutputStream create(Path file) throws IOException;
    }

    private final RecordSettings settings;
    private final String front;
    private final long life;
    private final RecordCodec codec = new RecordCodec();
    private final Disk disk;
    private DataFileWriter<Entry> writer;
    private Path file;
    private long openedUs;
    private long syncedUs;
    private int files;
    private long appended;
    /** Appended since the file was last written out: gone with it where it is given up. */
    private long pending;

    private long lost;
    private long triedUs = Long.MIN_VALUE / 2;

    RecordFileWriter(RecordSettings settings, String front, long life) {
        this(
                settings,
                front,
                life,
                f -> Files.newOutputStream(f, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE));
    }

    RecordFileWriter(RecordSettings settings, String front, long life, Disk disk) {
        this.settings = settings;
        this.front = front;
        this.life = life;
        this.disk = disk;
    }

    /**
     * Appends an entry. Where the disk takes no more, the file is given up with what was not written out; another is
     * tried a second later at the earliest, lest a full disk fills with empty files, and what comes before is lost.
     *
     * @param e the entry
     * @throws IOException once for each file that is given up or can't be made
     */
    @Override
    public void append(Entry e) throws IOException {
        try {
            if (writer != null && (e.unixUs() - openedUs > settings.ageUs() || full())) {
                close();
            }
            if (writer == null && e.unixUs() - triedUs < AGAIN_US) {
                lost++;
                return;
            }
            pending++;
            if (writer == null) {
                triedUs = e.unixUs();
                open(e.unixUs());
                triedUs = Long.MIN_VALUE / 2;
            }
            writer.append(e);
            if (e.unixUs() - syncedUs > settings.flushUs()) {
                flush();
                syncedUs = e.unixUs();
            }
        } catch (IOException | RuntimeException failed) {
            triedUs = e.unixUs();
            giveUp();
            throw failed instanceof IOException io ? io : new IOException(failed);
        }
    }

    /** Asks the file system now and then only. */
    private boolean full() throws IOException {
        return ++appended % SIZE_EVERY == 0 && Files.exists(file) && Files.size(file) > settings.fileBytes();
    }

    private void open(long unixUs) throws IOException {
        Files.createDirectories(settings.directory());
        prune();
        file = settings.directory().resolve(String.format("%s-%016x-%05d%s", safe(front), life, files++, ENDING));
        DataFileWriter<Entry> made = new DataFileWriter<>(codec.writer());
        if (settings.compress()) {
            made.setCodec(CodecFactory.deflateCodec(1));
        }
        made.setSyncInterval(BLOCK);
        OutputStream out = disk.create(file);
        try {
            made.create(codec.schema(), out, sync());
        } catch (IOException | RuntimeException e) {
            try (out) {
                Files.deleteIfExists(file);
            }
            throw e;
        }
        writer = made;
        openedUs = unixUs;
        syncedUs = unixUs;
    }

    /** The marker between blocks, by the file's name: the same run gives the same bytes. */
    private byte[] sync() {
        byte[] marker = new byte[SYNC_BYTES];
        UUID name = UUID.nameUUIDFromBytes(file.getFileName().toString().getBytes(StandardCharsets.UTF_8));
        ByteBuffer.wrap(marker).putLong(name.getMostSignificantBits()).putLong(name.getLeastSignificantBits());
        return marker;
    }

    /** A front's name as part of a file's: entries hold it as it is. */
    private static String safe(String name) {
        return name.replaceAll("[^A-Za-z0-9._-]", "_");
    }

    /** Removes the front's oldest files until one more fits under the bound. */
    private void prune() throws IOException {
        List<Path> own = new ArrayList<>();
        long total = 0;
        // Its own alone: another front's name may begin with this one's.
        Pattern mine = Pattern.compile(Pattern.quote(safe(front)) + "-[0-9a-f]{16}-[0-9]{5,}" + Pattern.quote(ENDING));
        try (DirectoryStream<Path> all = Files.newDirectoryStream(
                settings.directory(),
                p -> mine.matcher(p.getFileName().toString()).matches())) {
            for (Path path : all) {
                own.add(path);
                total += Files.size(path);
            }
        }
        own.sort(Comparator.comparing((Path p) -> p.toFile().lastModified()).thenComparing(Path::toString));
        for (int i = 0; i < own.size() && total + settings.fileBytes() > settings.totalBytes(); i++) {
            total -= Files.size(own.get(i));
            Files.delete(own.get(i));
        }
    }

    /** Writes out what stands in memory; where that fails, the file is given up. */
    @Override
    public void flush() throws IOException {
        if (writer != null) {
            try {
                writer.flush();
                pending = 0;
            } catch (IOException | RuntimeException e) {
                giveUp();
                throw e;
            }
        }
    }

    @Override
    public void close() throws IOException {
        if (writer != null) {
            DataFileWriter<Entry> open = writer;
            writer = null;
            open.close();
            pending = 0;
        }
    }

    /**
     * Entries lost since this was last asked.
     *
     * @return how many
     */
    @Override
    public long takeLost() {
        long now = lost;
        lost = 0;
        return now;
    }

    private void giveUp() {
        DataFileWriter<Entry> broken = writer;
        writer = null;
        lost += pending;
        pending = 0;
        if (broken != null) {
            try {
                broken.close();
            } catch (IOException | RuntimeException e) {
                // Already told: the disk takes nothing.
            }
        }
    }
}
