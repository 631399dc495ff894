package petrelplank.record;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Record files outlive the Java names of the version that wrote them. */
class StoredRecordsTest {
    private static final Path STORED = Path.of("src/test/resources/records/every-event");
    private static final long FROM = 1_764_576_000_000_000L;

    @TempDir
    Path folder;

    private static Path onlyFile(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            List<Path> all = files.toList();
            assertEquals(1, all.size());
            return all.get(0);
        }
    }

    /** The file was written before any Java name was parted from its stored name. */
    @Test
    void fileOfAnEarlierVersionHoldsEveryEvent() throws IOException {
        List<Entry> read = new ArrayList<>();
        RecordReader reader = new RecordReader();
        reader.read(List.of(STORED), read::add);
        assertEquals(List.of(), reader.errors());
        assertEquals(SampleEvents.EVENTS, read.stream().map(Entry::event).toList());
    }

    @Test
    void sameEventsAreWrittenAsTheSameBytes() throws IOException {
        DirectSink sink = new DirectSink(RecordSettings.in(folder), "front-1", 42);
        SampleEvents.EVENTS.forEach(event -> sink.record(FROM, event));
        sink.close();
        assertArrayEquals(Files.readAllBytes(onlyFile(STORED)), Files.readAllBytes(onlyFile(folder)));
    }
}
