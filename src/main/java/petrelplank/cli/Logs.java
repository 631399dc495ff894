package petrelplank.cli;

import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** Logging by java.util.logging: one line each to standard error, until the process has ended. */
final class Logs {
    private static final String LINE_FORMAT = "%1$tFT%1$tT.%1$tL %4$s %3$s: %5$s%6$s%n";

    /** Kept, since a logger that nothing refers to is collected together with its level. */
    private static Logger networkLogger;

    private Logs() {}

    /** Initializes logging; before anything logs, since the Java runtime reads these properties once. */
    static void initialize() {
        System.setProperty("java.util.logging.manager", PersistentLogManager.class.getName());
        System.setProperty("java.util.logging.SimpleFormatter.format", LINE_FORMAT);
        if (!(LogManager.getLogManager() instanceof PersistentLogManager)) {
            throw new IllegalStateException("logging was set up before, by " + LogManager.getLogManager());
        }
        networkLogger = Logger.getLogger("org.apache.mina");
        networkLogger.setLevel(Level.WARNING);
        createHandlers();
    }

    /**
     * Guards against a process without any log: handlers are created with the first line that is logged, but never
     * once a shutdown has begun, as with a SIGTERM before that line.
     */
    private static void createHandlers() {
        Logger.getLogger("").getHandlers();
    }

    /** Sets the form of the lines from now on. */
    static void setFormat(LogFormat format) {
        if (format == LogFormat.JSON) {
            JsonLogs.install();
        }
    }
}
