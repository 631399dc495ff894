package petrelplank.record;

import java.nio.file.Path;

/**
 * Where and how a proxy writes its record files.
 *
 * @param directory directory of the files; created if it is missing
 * @param fileBytes size at which a file is rotated, at least 64 KiB
 * @param maxFileAgeUs age at which a file is rotated, at least one second
 * @param totalBytes limit on the total size of the proxy's files, at least twice {@code fileBytes}
 * @param queued capacity of the writer's queue in events, at least 16
 * @param flushUs time within which a recorded event is written to the disk
 * @param compress whether files are compressed, which reduces them to a third and takes more processor time
 */
public record RecordSettings(
        Path directory,
        long fileBytes,
        long maxFileAgeUs,
        long totalBytes,
        int queued,
        long flushUs,
        boolean compress) {
    /**
     * Returns the settings for a small installation: files are rotated at 16 MiB or after an hour, take 256 MiB in
     * total, and are not compressed; up to 16,384 events are queued, and they are flushed every half second.
     *
     * @param directory directory of the files
     * @return the settings
     */
    public static RecordSettings in(Path directory) {
        return new RecordSettings(directory, 16L << 20, 3_600_000_000L, 256L << 20, 16_384, 500_000, false);
    }
}
