package petrelplank.cli;

import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** Logging: java.util.logging to standard error, one line each, until the process has ended. */
final class Logs {
    private static final Logger MINA = mina();

    private Logs() {}

    /** Sets logging up; before anything logs, since the platform reads these properties once. */
    static void set() {
        if (!(LogManager.getLogManager() instanceof PersistentLogManager)) {
            throw new IllegalStateException("logging was set up before, by " + LogManager.getLogManager());
        }
        MINA.setLevel(Level.WARNING);
        // Made by the first line else, and never once a shutdown has begun: SIGTERM before it left no log at all.
        Logger.getLogger("").getHandlers();
    }

    /**
     * Sets the form of the lines.
     *
     * @param format {@code text}, or {@code json} for one object a line in the Elastic Common Schema
     */
    static void format(String format) {
        if (format.equals("json")) {
            JsonLogs.set();
        }
    }

    private static Logger mina() {
        System.setProperty("java.util.logging.manager", PersistentLogManager.class.getName());
        System.setProperty("java.util.logging.SimpleFormatter.format", "%1$tFT%1$tT.%1$tL %4$s %3$s: %5$s%6$s%n");
        return Logger.getLogger("org.apache.mina");
    }
}
