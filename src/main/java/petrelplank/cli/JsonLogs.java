package petrelplank.cli;

import co.elastic.logging.jul.EcsFormatter;
import java.util.logging.Handler;
import java.util.logging.Logger;

/**
 * Formats log lines as JSON in the Elastic Common Schema. Separate from {@link Logs} because its library is on the
 * class path only if JSON was requested.
 */
final class JsonLogs {
    private JsonLogs() {}

    /** Replaces the formatter of all root handlers. */
    static void install() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.setFormatter(new EcsFormatter());
        }
    }
}
