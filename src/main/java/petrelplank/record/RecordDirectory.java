package petrelplank.record;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Pattern;

/** Names the record files of an incarnation and keeps all files of its proxy within the bound on their total size. */
final class RecordDirectory {
    /** The extension of record files. */
    private static final String EXTENSION = ".records.avro";

    private final RecordSettings settings;
    private final String fileNamePrefix;
    private final long incarnation;
    private int filesNamed;

    RecordDirectory(RecordSettings settings, String proxy, long incarnation) {
        this.settings = settings;
        // Only in the file's name: the entries hold the proxy's name as it is.
        this.fileNamePrefix = proxy.replaceAll("[^A-Za-z0-9._-]", "_");
        this.incarnation = incarnation;
    }

    /** Makes the directory and room in it, and names the next file. */
    Path nextFile() throws IOException {
        Files.createDirectories(settings.directory());
        removeOldest();
        String name = String.format("%s-%016x-%05d%s", fileNamePrefix, incarnation, filesNamed++, EXTENSION);
        return settings.directory().resolve(name);
    }

    /** Removes the oldest files until a further one fits under the bound. */
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

    /** The whole name is matched, since the name of another proxy may begin with this one's. */
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
