package petrelplank.cli;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers until the process has ended. The shutdown hook of the standard log manager
 * resets all handlers immediately at SIGTERM, so log lines of the drain that follows would be lost.
 */
public final class PersistentLogManager extends LogManager {
    /** Called by the Java runtime; a system property holds the name of this class. */
    public PersistentLogManager() {}

    /** Does nothing, so that the handlers stay in place during shutdown. */
    @Override
    public void reset() {}
}
