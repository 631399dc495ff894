package petrelplank.record;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Chooses the names of an incarnation's record files, and deletes old files of the same proxy to keep their total size
 * within its limit.
 */
final class RecordDirectory {
    /** Extension of the names of record files. */
    private static final String EXTENSION = ".records.avro";

    private final RecordSettings settings;
    private final String fileNamePrefix;
    private final long incarnation;
    private int nextFileNumber;

    RecordDirectory(RecordSettings settings, String proxy, long incarnation) {
        this.settings = settings;
        // Replaced in the file name only: the entries hold the unchanged name of the proxy.
        this.fileNamePrefix = proxy.replaceAll("[^A-Za-z0-9._-]", "_");
        this.incarnation = incarnation;
    }

    /**
     * Creates the directory if it is missing, deletes old files to make room, and returns the path of the next file.
     */
    Path nextFile() throws IOException {
        Files.createDirectories(settings.directory());
        removeOldest();
        String name = String.format("%s-%016x-%05d%s", fileNamePrefix, incarnation, nextFileNumber++, EXTENSION);
        return settings.directory().resolve(name);
    }

    /** Deletes the oldest files until another file fits within the limit on the total size. */
    private void removeOldest() throws IOException {
        List<Path> files = filesOfThisProxy();
        long totalBytes = 0;
        for (Path file : files) {
            totalBytes += Files.size(file);
        }
        files.sort(Comparator.comparing((Path file) -> file.toFile().lastModified())
                .thenComparing(Path::toString));
        for (Path oldest : files) {
            if (totalBytes + settings.fileBytes() <= settings.totalBytes()) {
                return;
            }
            totalBytes -= Files.size(oldest);
            Files.delete(oldest);
        }
    }

    /** Lists the proxy's files. The whole file name is matched: the name of another proxy may begin with this one's. */
    private List<Path> filesOfThisProxy() throws IOException {
        Pattern pattern =
                Pattern.compile(Pattern.quote(fileNamePrefix) + "-[0-9a-f]{16}-[0-9]{5,}" + Pattern.quote(EXTENSION));
        List<Path> files = new ArrayList<>();
        try (DirectoryStream<Path> matching = Files.newDirectoryStream(
                settings.directory(),
                path -> pattern.matcher(path.getFileName().toString()).matches())) {
            matching.forEach(files::add);
        }
        return files;
    }
}
