package petrelplank.cli;

import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** Configures java.util.logging: messages on standard error, also during shutdown hooks. */
final class Logs {
    private static final String LINE_FORMAT = "%1$tFT%1$tT.%1$tL %4$s %3$s: %5$s%6$s%n";

    /** Strong reference: without one, the logger and its level would be garbage collected. */
    private static Logger minaLogger;

    private Logs() {}

    /** Initializes logging. Runs before the first log line, since the Java runtime reads these properties only once. */
    static void initialize() {
        System.setProperty("java.util.logging.manager", PersistentLogManager.class.getName());
        System.setProperty("java.util.logging.SimpleFormatter.format", LINE_FORMAT);
        if (!(LogManager.getLogManager() instanceof PersistentLogManager)) {
            throw new IllegalStateException(
                    "logging is already initialized, with log manager " + LogManager.getLogManager());
        }
        minaLogger = Logger.getLogger("org.apache.mina");
        minaLogger.setLevel(Level.WARNING);
        createHandlers();
    }

    /**
     * Creates the handlers now. The Java runtime would otherwise create them at the first log line, and it creates none
     * once a shutdown has begun: after a SIGTERM before that line, the process would log nothing at all.
     */
    private static void createHandlers() {
        Logger.getLogger("").getHandlers();
    }

    /** Switches all further log lines to JSON if that is the format. Text is the initial format. */
    static void setFormat(LogFormat format) {
        if (format == LogFormat.JSON) {
            JsonLogs.install();
        }
    }
}
