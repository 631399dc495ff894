package petrelplank.record;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * The entries and errors that {@link RecordReader} reports for a file or directory.
 *
 * @param entries the entries read
 * @param errors what could not be read
 */
record RecordFiles(List<Entry> entries, List<ReadError> errors) {
    static RecordFiles read(Path path) throws IOException {
        List<Entry> entries = new ArrayList<>();
        RecordReader reader = new RecordReader();
        reader.read(List.of(path), entries::add);
        return new RecordFiles(entries, reader.errors());
    }

    static List<Path> list(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.sorted().toList();
        }
    }

    List<Event> events() {
        return entries.stream().map(Entry::event).toList();
    }

    Entry last() {
        return entries.get(entries.size() - 1);
    }
}
