package petrelplank.record;

import java.nio.file.Path;

/**
 * Where and how a proxy writes its records.
 *
 * @param directory holds the files; created where it is missing
 * @param fileBytes a file is rotated at this size, 64 KiB at least
 * @param ageUs a file is rotated at this age, a second at least
 * @param totalBytes bound on the proxy's files together, two files at least
 * @param queued capacity of the writer's queue in events, 16 at least
 * @param flushUs an event reaches the disk within this time
 * @param compress whether files are compressed: a third of the bytes, for more processor time
 */
public record RecordSettings(
        Path directory, long fileBytes, long ageUs, long totalBytes, int queued, long flushUs, boolean compress) {
    /**
     * Settings of a small installation: files of 16 MiB and an hour, 256 MiB together, 16,384 queued events, flushed
     * each half second, uncompressed.
     *
     * @param directory holds the files
     * @return the settings
     */
    public static RecordSettings in(Path directory) {
        return new RecordSettings(directory, 16L << 20, 3_600_000_000L, 256L << 20, 16_384, 500_000, false);
    }
}
