package petrelplank.record;

import java.nio.file.Path;

/**
 * Something that {@link RecordReader} could not read.
 *
 * @param place the file or directory
 * @param reason what is wrong with it
 */
public record ReadError(Path place, String reason) {
    /**
     * The error as a line of text.
     *
     * @return place and reason
     */
    public String message() {
        return place + ": " + reason;
    }
}
