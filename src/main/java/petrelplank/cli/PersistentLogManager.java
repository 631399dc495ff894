package petrelplank.cli;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers until the process has ended. Guards against the loss of what is logged after
 * SIGTERM: the log manager's own shutdown hook resets all handlers at once, while the proxy is still draining.
 */
public final class PersistentLogManager extends LogManager {
    /** Called by the Java runtime, which finds this class by the name in a system property. */
    public PersistentLogManager() {}

    @Override
    public void reset() {}
}
