package petrelplank.cli;

import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Collects the log lines of one class, so that a test can wait for one. */
final class LogLines extends Handler implements AutoCloseable {
    private static final long MAX_WAIT_S = 20;

    private final Logger logger;
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();

    LogLines(Class<?> source) {
        logger = Logger.getLogger(source.getName());
        logger.addHandler(this);
    }

    /** Waits for a line that contains one of the texts, and drops those before it. */
    String await(String... texts) throws InterruptedException {
        while (true) {
            String line = lines.poll(MAX_WAIT_S, TimeUnit.SECONDS);
            if (line == null) {
                throw new AssertionError("no line was logged within " + MAX_WAIT_S + " s");
            }
            if (Arrays.stream(texts).anyMatch(line::contains)) {
                return line;
            }
        }
    }

    boolean isEmpty() {
        return lines.isEmpty();
    }

    @Override
    public void publish(LogRecord line) {
        lines.add(line.getMessage());
    }

    @Override
    public void flush() {}

    @Override
    public void close() {
        logger.removeHandler(this);
    }
}
