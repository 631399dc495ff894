package petrelplank.cli;

import java.util.logging.LogManager;

/** Keeps the log's handlers after SIGTERM, when the platform's own hook would take them away at once. */
public final class PersistentLogManager extends LogManager {
    /** For the platform, which makes it by name. */
    public PersistentLogManager() {}

    @Override
    public void reset() {}
}
