package petrelplank.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RecordFileWriterTest {
    private static final long START_US = 1_764_576_000_000_000L;
    private static final long HOUR_US = 3_600_000_000L;

    @TempDir
    Path tempDir;

    /** Returns settings for files of 64 KiB, of which at most two are kept. */
    private RecordSettings smallFiles() {
        return new RecordSettings(tempDir, 64 << 10, 10_000_000, 128 << 10, 16, 1, true);
    }

    /**
     * Appends more entries than two small files can hold. The request ids are scattered, so that they do not compress.
     */
    private static void appendMany(RecordFileWriter writer, String proxy) throws IOException {
        for (int i = 0; i < 20_000; i++) {
            Event event = new Event.ClientDisconnected(i * 0x9e3779b97f4a7c15L);
            writer.append(new Entry(proxy, 42, i, START_US + i, event));
        }
        writer.close();
    }

    @Test
    void filesAreRotatedBySizeAndTheOldestRemoved() throws IOException {
        appendMany(new RecordFileWriter(smallFiles(), "front-1", 42), "front-1");
        long totalBytes = 0;
        for (Path file : RecordFiles.list(tempDir)) {
            totalBytes += Files.size(file);
        }
        assertTrue(totalBytes <= (128 << 10) + (16 << 10), "total bytes of the files: " + totalBytes);
        RecordFiles read = RecordFiles.read(tempDir);
        assertEquals(19_999, read.last().number());
        assertTrue(read.entries().get(0).number() > 0);
    }

    @Test
    void filesAreRotatedByAge() throws IOException {
        RecordFileWriter writer = new RecordFileWriter(RecordSettings.in(tempDir), "front-1", 43);
        writer.append(new Entry("front-1", 43, 0, START_US, new Event.ProxyStopped()));
        writer.append(new Entry("front-1", 43, 1, START_US + HOUR_US + 1, new Event.ProxyStopped()));
        writer.close();
        assertEquals(2, RecordFiles.list(tempDir).size());
    }

    /**
     * Files of a proxy whose name begins with this proxy's name must not be deleted to keep the limit on the total
     * size.
     */
    @Test
    void filesOfOtherProxiesAreKept() throws IOException {
        RecordFileWriter other = new RecordFileWriter(smallFiles(), "front-1.branch1", 7);
        other.append(new Entry("front-1.branch1", 7, 0, START_US, new Event.ProxyStopped()));
        other.close();
        appendMany(new RecordFileWriter(smallFiles(), "front", 42), "front");
        RecordFiles read = RecordFiles.read(tempDir);
        assertEquals(
                1,
                read.entries().stream()
                        .filter(entry -> entry.incarnation() == 7)
                        .count());
        assertTrue(read.entries().size() < 20_000);
    }

    @Test
    void nameOfAProxyMayHoldCharactersThatFileNamesMayNot() throws IOException {
        RecordFileWriter writer = new RecordFileWriter(RecordSettings.in(tempDir), "../a b", 1);
        writer.append(new Entry("../a b", 1, 0, START_US, new Event.ProxyStopped()));
        writer.close();
        assertEquals("../a b", RecordFiles.read(tempDir).entries().get(0).proxy());
    }

    /** Every lost entry must be counted, including buffered ones, and a full disk must not fill up with empty files. */
    @Test
    void writingResumesAfterAFullDiskAndLossesAreCounted() throws IOException {
        FillableDisk disk = new FillableDisk();
        RecordFileWriter writer = new RecordFileWriter(RecordSettings.in(tempDir), "front-1", 42, disk::create);
        int failures = 0;
        long lost = 0;
        for (int i = 0; i < 3000; i++) {
            disk.full = i >= 1000 && i < 2000;
            try {
                writer.append(new Entry("front-1", 42, i, START_US + i * 100_000L, new Event.ProxyStopped()));
            } catch (IOException e) {
                assertEquals("No space left on device", e.getMessage());
                failures++;
            }
            lost += writer.takeLost();
        }
        writer.close();
        RecordFiles read = RecordFiles.read(tempDir);
        assertTrue(failures > 50 && failures <= 101, "failed writes: " + failures);
        assertEquals(3000, read.entries().size() + lost);
        assertEquals(
                990,
                read.entries().stream().filter(entry -> entry.number() >= 2010).count());
        assertTrue(RecordFiles.list(tempDir).size() <= 3, "too many files in " + tempDir);
    }

    /** Simulates a disk that can be full: files can then still be created, but writing to them fails. */
    private static final class FillableDisk {
        private boolean full;

        OutputStream create(Path file) throws IOException {
            return new FilterOutputStream(Files.newOutputStream(file)) {
                @Override
                public void write(int single) throws IOException {
                    write(new byte[] {(byte) single}, 0, 1);
                }

                @Override
                public void write(byte[] bytes, int from, int length) throws IOException {
                    if (full) {
                        throw new IOException("No space left on device");
                    }
                    out.write(bytes, from, length);
                }

                @Override
                public void close() throws IOException {
                    out.close();
                }
            };
        }
    }
}
