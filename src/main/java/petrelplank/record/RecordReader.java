package petrelplank.record;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.apache.avro.AvroRuntimeException;
import org.apache.avro.file.DataFileReader;
import org.apache.avro.generic.GenericDatumReader;
import org.apache.avro.generic.IndexedRecord;

/**
 * Reads record files. If a file is truncated or corrupt, only the damaged blocks are lost: the reader resumes at the
 * next sync marker, and gaps in the sequence numbers of the entries show what is missing.
 */
public final class RecordReader {
    private final RecordCodec codec = new RecordCodec();
    private final List<ReadError> errors = new ArrayList<>();

    /** Creates a reader that has read nothing yet. */
    public RecordReader() {}

    /**
     * Returns what could not be read.
     *
     * @return the errors found so far
     */
    public List<ReadError> errors() {
        return List.copyOf(errors);
    }

    /**
     * Reads files, and all files below directories. Unreadable files and blocks are added to {@link #errors}.
     *
     * @param paths files or directories
     * @param entries receives each entry, in no guaranteed order
     * @throws IOException if a path does not exist or a directory cannot be listed
     */
    public void read(List<Path> paths, Consumer<Entry> entries) throws IOException {
        for (Path path : paths) {
            if (Files.isRegularFile(path)) {
                readFile(path, entries);
            } else {
                readDirectory(path, entries);
            }
        }
    }

    private void readDirectory(Path directory, Consumer<Entry> entries) throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.walk(directory)) {
            files = all.filter(Files::isRegularFile).sorted().toList();
        }
        if (files.isEmpty()) {
            errors.add(new ReadError(directory, "contains no files, expected record files"));
        }
        for (Path file : files) {
            readFile(file, entries);
        }
    }

    private void readFile(Path path, Consumer<Entry> entries) {
        File file = path.toFile();
        GenericDatumReader<IndexedRecord> decoder = new GenericDatumReader<>(null, codec.schema());
        try (DataFileReader<IndexedRecord> reader = new DataFileReader<>(file, decoder)) {
            readBlocks(reader, path, file.length(), entries);
        } catch (IOException | AvroRuntimeException e) {
            String detail = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            errors.add(new ReadError(path, "not a readable record file (" + detail + ")"));
        }
    }

    private void readBlocks(DataFileReader<IndexedRecord> reader, Path path, long length, Consumer<Entry> entries)
            throws IOException {
        IndexedRecord reused = null;
        boolean hasMore = true;
        while (hasMore) {
            long blockStart = reader.previousSync();
            try {
                hasMore = reader.hasNext();
                if (hasMore) {
                    reused = reader.next(reused);
                    entries.accept(codec.read(reused));
                } else if (reader.previousSync() < length) {
                    errors.add(unreadableBlock(path, reader.previousSync(), ""));
                }
            } catch (AvroRuntimeException
                    | IOException
                    | IllegalArgumentException
                    | IndexOutOfBoundsException
                    | ClassCastException e) {
                hasMore = skipBlock(reader, path, blockStart, length);
            }
        }
    }

    /** Moves to the block after an unreadable one; returns false at the end of the file. */
    private boolean skipBlock(DataFileReader<IndexedRecord> reader, Path path, long blockStart, long length)
            throws IOException {
        long resumeAt = Math.max(blockStart, reader.previousSync()) + 1;
        reader.sync(Math.min(resumeAt, length));
        boolean hasMore = reader.previousSync() < length - 1 && !reader.pastSync(length);
        errors.add(unreadableBlock(path, blockStart, hasMore ? ", skipped" : ""));
        return hasMore;
    }

    private static ReadError unreadableBlock(Path path, long blockStart, String consequence) {
        return new ReadError(path, "the block at byte " + blockStart + " is truncated or corrupt" + consequence);
    }
}
