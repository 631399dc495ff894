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
 * Reads record files. A truncated or corrupt file loses at most the blocks concerned: the reader resumes at the next
 * sync marker, and the entries' numbers show what is missing.
 */
public final class RecordReader {
    private final RecordCodec codec = new RecordCodec();
    private final List<ReadError> errors = new ArrayList<>();

    /** Creates a reader without errors. */
    public RecordReader() {}

    /**
     * What could not be read.
     *
     * @return the errors so far
     */
    public List<ReadError> errors() {
        return List.copyOf(errors);
    }

    /**
     * Reads files, and all files under directories.
     *
     * @param places files or directories
     * @param entries receives each entry, in no particular order
     * @throws IOException where a place does not exist
     */
    public void read(List<Path> places, Consumer<Entry> entries) throws IOException {
        for (Path place : places) {
            if (Files.isRegularFile(place)) {
                readFile(place, entries);
            } else {
                readDirectory(place, entries);
            }
        }
    }

    private void readDirectory(Path directory, Consumer<Entry> entries) throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.walk(directory)) {
            files = all.filter(Files::isRegularFile).sorted().toList();
        }
        if (files.isEmpty()) {
            errors.add(new ReadError(directory, "no record files"));
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
            errors.add(new ReadError(path, "no record file (" + detail + ")"));
        }
    }

    private void readBlocks(DataFileReader<IndexedRecord> reader, Path path, long length, Consumer<Entry> entries)
            throws IOException {
        IndexedRecord reused = null;
        boolean more = true;
        while (more) {
            long blockStart = reader.previousSync();
            try {
                more = reader.hasNext();
                if (more) {
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
                more = skipBlock(reader, path, blockStart, length);
            }
        }
    }

    /** Resumes after an unreadable block; false at the end of the file. */
    private boolean skipBlock(DataFileReader<IndexedRecord> reader, Path path, long blockStart, long length)
            throws IOException {
        long resumeAt = Math.max(blockStart, reader.previousSync()) + 1;
        reader.sync(Math.min(resumeAt, length));
        boolean more = reader.previousSync() < length - 1 && !reader.pastSync(length);
        errors.add(unreadableBlock(path, blockStart, more ? ", passed over" : ""));
        return more;
    }

    private static ReadError unreadableBlock(Path path, long blockStart, String consequence) {
        return new ReadError(path, "a block at byte " + blockStart + " is cut off or spoilt" + consequence);
    }
}
