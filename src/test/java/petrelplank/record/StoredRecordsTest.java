package petrelplank.record;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Record files must stay readable when Java names change. Compares with a committed file that an earlier version wrote
 * from {@link SampleEvents}.
 */
class StoredRecordsTest {
    private static final Path STORED = Path.of("src/test/resources/records/every-event");
    private static final long START_US = 1_764_576_000_000_000L;

    @TempDir
    Path tempDir;

    private static Path onlyFile(Path directory) throws IOException {
        List<Path> files = RecordFiles.list(directory);
        assertEquals(1, files.size());
        return files.get(0);
    }

    @Test
    void fileOfAnEarlierVersionIsReadCompletely() throws IOException {
        RecordFiles read = RecordFiles.read(STORED);
        assertEquals(List.of(), read.errors());
        assertEquals(SampleEvents.EVENTS, read.events());
    }

    @Test
    void eventsAreWrittenAsTheBytesOfTheEarlierVersion() throws IOException {
        DirectSink sink = new DirectSink(RecordSettings.in(tempDir), "front-1", 42);
        SampleEvents.EVENTS.forEach(event -> sink.record(START_US, event));
        sink.close();
        assertArrayEquals(Files.readAllBytes(onlyFile(STORED)), Files.readAllBytes(onlyFile(tempDir)));
    }
}
