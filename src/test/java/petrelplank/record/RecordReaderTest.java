package petrelplank.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RecordReaderTest {
    private static final long START_US = 1_764_576_000_000_000L;
    private static final int EVENTS_PER_BLOCK = SampleEvents.EVENTS.size();
    private static final int FLUSHED_BLOCKS = 3;

    @TempDir
    Path tempDir;

    private RecordFileWriter writer;
    private long nextNumber;

    @BeforeEach
    void createWriter() {
        writer = new RecordFileWriter(RecordSettings.in(tempDir), "front-1", 42);
    }

    private void appendSamples() throws IOException {
        for (Event event : SampleEvents.EVENTS) {
            writer.append(new Entry("front-1", 42, nextNumber++, START_US, event));
        }
    }

    /** Writes {@link #FLUSHED_BLOCKS} blocks and returns the length of the file after each. */
    private long[] flushBlocks() throws IOException {
        long[] ends = new long[FLUSHED_BLOCKS];
        for (int block = 0; block < FLUSHED_BLOCKS; block++) {
            appendSamples();
            writer.flush();
            ends[block] = Files.size(file());
        }
        return ends;
    }

    private Path file() throws IOException {
        return RecordFiles.list(tempDir).get(0);
    }

    /**
     * If the process is killed during a write, the last block is incomplete, but all earlier blocks must still be read.
     */
    @Test
    void fileTruncatedAnywhereInItsLastBlockLosesOnlyThatBlock() throws IOException {
        int flushed = (int) flushBlocks()[FLUSHED_BLOCKS - 1];
        appendSamples();
        writer.close();
        Path file = file();
        byte[] complete = Files.readAllBytes(file);
        assertTrue(complete.length > flushed);
        for (int length = flushed; length < complete.length; length++) {
            Files.write(file, Arrays.copyOf(complete, length));
            RecordFiles read = RecordFiles.read(file);
            assertEquals(
                    FLUSHED_BLOCKS * EVENTS_PER_BLOCK,
                    read.entries().size(),
                    "entries read of a file truncated to bytes: " + length);
            assertEquals(
                    length == flushed ? 0 : 1,
                    read.errors().size(),
                    "truncated to bytes: " + length + ", errors: " + read.errors());
        }
    }

    @Test
    void corruptBlockIsSkippedAndReported() throws IOException {
        int firstBlockEnd = (int) flushBlocks()[0];
        writer.close();
        Path file = file();
        byte[] bytes = Files.readAllBytes(file);
        for (int i = firstBlockEnd + 8; i < firstBlockEnd + 40; i++) {
            bytes[i] ^= 0x55;
        }
        Files.write(file, bytes);
        RecordFiles read = RecordFiles.read(tempDir);
        assertEquals((FLUSHED_BLOCKS - 1) * EVENTS_PER_BLOCK, read.entries().size());
        assertEquals(1, read.errors().size());
        String message = read.errors().get(0).message();
        assertTrue(message.startsWith(file + ": the block at byte "), message);
    }

    @Test
    void foreignFilesAreReportedAndTheOthersAreRead() throws IOException {
        writer.append(new Entry("front-1", 42, 0, START_US, new Event.ProxyStopped()));
        writer.close();
        Files.writeString(tempDir.resolve("notes.txt"), "not a record file");
        Files.write(tempDir.resolve("zero"), new byte[0]);
        RecordFiles read = RecordFiles.read(tempDir);
        assertEquals(1, read.entries().size());
        assertEquals(2, read.errors().size());
        String message = read.errors().get(0).message();
        assertTrue(message.contains("notes.txt: not a readable record file"), message);
    }
}
