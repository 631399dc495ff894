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
 * Reads record files. What a file lost by being cut off or spoilt is at most the block it happened in; the reader goes
 * on at the next sync marker, and the numbers tell what is missing.
 */
public final class RecordReader {
    private static final String CUT = " is cut off or spoilt";

    private final RecordCodec codec = new RecordCodec();
    private final List<String> troubles = new ArrayList<>();

    /** Reads nothing yet. */
    public RecordReader() {}

    /**
     * What could not be read, a line each with the file's name.
     *
     * @return so far
     */
    public List<String> troubles() {
        return List.copyOf(troubles);
    }

    /**
     * Reads all record files under some directories, and files named.
     *
     * @param places directories or files
     * @param entries takes each entry, in no certain order
     * @throws IOException where a place is not there
     */
    public void read(List<Path> places, Consumer<Entry> entries) throws IOException {
        for (Path place : places) {
            if (Files.isRegularFile(place)) {
                file(place, entries);
                continue;
            }
            List<Path> files;
            try (Stream<Path> all = Files.walk(place)) {
                files = all.filter(Files::isRegularFile).sorted().toList();
            }
            if (files.isEmpty()) {
                troubles.add(place + ": no record files");
            }
            for (Path file : files) {
                file(file, entries);
            }
        }
    }

    private void file(Path path, Consumer<Entry> entries) {
        File file = path.toFile();
        GenericDatumReader<IndexedRecord> decoder = new GenericDatumReader<>(null, codec.schema());
        try (DataFileReader<IndexedRecord> reader = new DataFileReader<>(file, decoder)) {
            IndexedRecord reused = null;
            while (true) {
                long at = reader.previousSync();
                try {
                    if (!reader.hasNext()) {
                        if (reader.previousSync() < file.length()) {
                            troubles.add(path + ": a block at byte " + reader.previousSync() + CUT);
                        }
                        return;
                    }
                    reused = reader.next(reused);
                    entries.accept(codec.read(reused));
                } catch (AvroRuntimeException
                        | IOException
                        | IllegalArgumentException
                        | IndexOutOfBoundsException
                        | ClassCastException e) {
                    if (!skip(reader, path, at, file.length())) {
                        return;
                    }
                }
            }
        } catch (IOException | AvroRuntimeException e) {
            troubles.add(path + ": no record file ("
                    + String.valueOf(e.getMessage()).lines().findFirst().orElse("") + ")");
        }
    }

    /** Goes on behind a block that can't be read; false at the file's end. */
    private boolean skip(DataFileReader<IndexedRecord> reader, Path path, long from, long length) throws IOException {
        long at = Math.max(from, reader.previousSync()) + 1;
        reader.sync(Math.min(at, length));
        boolean more = reader.previousSync() < length - 1 && !reader.pastSync(length);
        troubles.add(path + ": a block at byte " + from + CUT + (more ? ", passed over" : ""));
        return more;
    }
}
