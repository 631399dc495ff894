package petrelplank.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import petrelplank.settings.FormatException;

/** Splits the byte stream of the discovery service into lines, however the stream was split into reads. */
final class LineSplitter {
    /** Limits the memory that one line may use; a complete endpoint list is shorter. */
    static final int MAX_LINE_BYTES = 1 << 20;

    private static final int INITIAL_LINE_BYTES = 1024;

    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream(INITIAL_LINE_BYTES);

    /**
     * Consumes bytes and passes on each complete line, without its line terminator and surrounding white space.
     *
     * @param input the next bytes of the stream; all are consumed
     * @param lineConsumer receives each complete line
     * @throws FormatException if a line is longer than {@link #MAX_LINE_BYTES}
     */
    void feed(ByteBuffer input, Consumer<String> lineConsumer) {
        while (input.hasRemaining()) {
            byte nextByte = input.get();
            if (nextByte == '\n') {
                String completeLine = buffer.toString(StandardCharsets.UTF_8).strip();
                buffer.reset();
                lineConsumer.accept(completeLine);
            } else {
                append(nextByte);
            }
        }
    }

    private void append(byte nextByte) {
        if (buffer.size() == MAX_LINE_BYTES) {
            throw new FormatException("line is longer than " + MAX_LINE_BYTES + " bytes");
        }
        buffer.write(nextByte);
    }
}
