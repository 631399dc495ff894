package petrelplank.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FileSinkTest {
    private static final long START_US = 1_764_576_000_000_000L;

    @TempDir
    Path tempDir;

    private RecordSettings settings(int queued) {
        return new RecordSettings(tempDir, 64 << 10, 10_000_000, 1 << 20, queued, 1, false);
    }

    private static FileSink sink(RecordSettings settings, RecordFileWriter.FileOpener opener) {
        return new FileSink(settings.queued(), "front-1", 42, new RecordFileWriter(settings, "front-1", 42, opener));
    }

    /** The event thread must never block: events are lost if the queue is full, and their number must be recorded. */
    @Test
    void slowWriterLosesEventsAndRecordsTheirNumber() throws IOException {
        CountDownLatch diskReady = new CountDownLatch(1);
        FileSink sink = sink(settings(16), file -> {
            try {
                diskReady.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            return Files.newOutputStream(file);
        });
        for (int i = 0; i < 1000; i++) {
            sink.record(START_US + i, new Event.ClientDisconnected(i));
        }
        diskReady.countDown();
        boolean reported = false;
        for (int attempt = 0; !reported; attempt++) {
            // Once the writer has made room in the queue, the next event is preceded by the number of lost events.
            sink.record(START_US + 2000 + attempt, new Event.EndpointRecovered("box"));
            reported = sink.unreportedLosses() <= 0;
        }
        sink.close();
        RecordFiles read = RecordFiles.read(tempDir);
        long lost = read.events().stream()
                .filter(Event.EventsLost.class::isInstance)
                .mapToLong(event -> ((Event.EventsLost) event).events())
                .sum();
        assertTrue(lost >= 1000 - 2 * 16 - 512, "events lost: " + lost);
        assertEquals(read.last().number() + 1 - read.entries().size(), lost);
    }

    @Test
    void eventsLostByTheDiskAreRecordedOnceItRecovers() throws IOException {
        AtomicBoolean full = new AtomicBoolean(true);
        FileSink sink = sink(settings(64), file -> {
            if (full.get()) {
                throw new IOException("No space left on device");
            }
            return Files.newOutputStream(file);
        });
        for (int i = 0; i < 40; i++) {
            sink.record(START_US + i, new Event.ClientDisconnected(i));
        }
        while (sink.unreportedLosses() < 40) {
            Thread.onSpinWait();
        }
        full.set(false);
        sink.record(START_US + 2_000_000, new Event.ProxyStopped());
        sink.close();
        assertEquals(
                List.of(new Event.EventsLost(40), new Event.ProxyStopped()),
                RecordFiles.read(tempDir).events());
    }
}
