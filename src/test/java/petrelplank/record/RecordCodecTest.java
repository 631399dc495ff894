package petrelplank.record;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RecordCodecTest {
    private static final long START_US = 1_764_576_000_000_000L;

    @TempDir
    Path tempDir;

    private static void writeSamples(Path directory) {
        DirectSink sink = new DirectSink(RecordSettings.in(directory), "front-1", 42);
        SampleEvents.EVENTS.forEach(event -> sink.record(START_US, event));
        sink.close();
    }

    /** Also checks that the samples include every event type, so that a new type cannot be left out of this test. */
    @Test
    void everyEventSurvivesARoundTrip() throws IOException {
        Set<Class<?>> types = new HashSet<>(Arrays.asList(Event.class.getPermittedSubclasses()));
        SampleEvents.EVENTS.forEach(event -> types.remove(event.getClass()));
        assertEquals(Set.of(), types);
        writeSamples(tempDir);
        RecordFiles read = RecordFiles.read(tempDir);
        assertEquals(SampleEvents.EVENTS, read.events());
        assertEquals(List.of(), read.errors());
        for (int i = 0; i < read.entries().size(); i++) {
            assertEquals(
                    new Entry("front-1", 42, i, START_US, SampleEvents.EVENTS.get(i)),
                    read.entries().get(i));
        }
    }

    @Test
    void equalEntriesAreWrittenAsEqualBytes() throws IOException {
        byte[][] bytes = new byte[2][];
        for (int i = 0; i < bytes.length; i++) {
            Path directory = tempDir.resolve("run" + i);
            writeSamples(directory);
            bytes[i] = Files.readAllBytes(RecordFiles.list(directory).get(0));
        }
        assertArrayEquals(bytes[0], bytes[1]);
    }

    @Test
    void everyEventTypeHasItsPlaceInTheStoredOrder() {
        assertEquals(Set.of(Event.class.getPermittedSubclasses()), new HashSet<Class<?>>(StoredEventOrder.TYPES));
        assertEquals(Event.class.getPermittedSubclasses().length, StoredEventOrder.TYPES.size());
    }
}
