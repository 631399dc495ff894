package petrelplank.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import petrelplank.settings.FormatException;

/** Splits the discovery service's byte stream into lines, however it was fragmented. */
final class LineSplitter {
    /** Bounds the memory that one line may take; a complete endpoint list is shorter. */
    static final int MAX_LINE_BYTES = 1 << 20;

    private static final int INITIAL_LINE_BYTES = 1024;

    private final ByteArrayOutputStream line = new ByteArrayOutputStream(INITIAL_LINE_BYTES);

    /**
     * Consumes the bytes and hands on each complete line, without its line end and surrounding blanks.
     *
     * @param input the bytes; all are consumed
     * @param lines gets each line that ended
     * @throws FormatException where a line is longer than {@link #MAX_LINE_BYTES}
     */
    void feed(ByteBuffer input, Consumer<String> lines) {
        while (input.hasRemaining()) {
            byte next = input.get();
            if (next == '\n') {
                String text = line.toString(StandardCharsets.UTF_8).strip();
                line.reset();
                lines.accept(text);
            } else {
                append(next);
            }
        }
    }

    private void append(byte next) {
        if (line.size() == MAX_LINE_BYTES) {
            throw new FormatException("a line over " + MAX_LINE_BYTES + " bytes");
        }
        line.write(next);
    }
}
