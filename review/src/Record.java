import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The lines of record.txt: milliseconds since the start of the script, and what was seen. */
final class Record implements AutoCloseable {
    private final long startMs = System.currentTimeMillis();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String text) {
        out.println(since(System.currentTimeMillis()) + " " + text);
    }

    /** A time on the scale of the record. */
    long since(long unixMs) {
        return unixMs - startMs;
    }

    synchronized void say(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public void close() {
        out.close();
    }
}
