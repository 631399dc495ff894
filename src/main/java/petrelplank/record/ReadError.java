package petrelplank.record;

import java.nio.file.Path;

/**
 * A file, a block of a file or a directory that {@link RecordReader} could not read.
 *
 * @param path the file or directory
 * @param reason what is wrong with it
 */
public record ReadError(Path path, String reason) {
    /**
     * Formats the error as one line of text.
     *
     * @return the path and the reason
     */
    public String message() {
        return path + ": " + reason;
    }
}
