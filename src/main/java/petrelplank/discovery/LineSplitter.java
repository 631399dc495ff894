package petrelplank.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import petrelplank.settings.FormatException;

/** Cuts the coordinator's stream into lines, no longer than a whole list can be. */
final class LineSplitter {
    static final int LONGEST_LINE = 1 << 20;

    private final ByteArrayOutputStream line = new ByteArrayOutputStream(1024);

    void feed(ByteBuffer in, Consumer<String> lines) {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b != '\n') {
                if (line.size() == LONGEST_LINE) {
                    throw new FormatException("a line over " + LONGEST_LINE + " bytes");
                }
                line.write(b);
                continue;
            }
            String text = line.toString(StandardCharsets.UTF_8).strip();
            line.reset();
            lines.accept(text);
        }
    }
}
