package petrelplank.cli;

import co.elastic.logging.jul.EcsFormatter;
import java.util.logging.Handler;
import java.util.logging.Logger;

/**
 * Log lines as JSON in the Elastic Common Schema. Apart from {@link Logs}, since the library behind it is only on the
 * class path where JSON is asked for.
 */
final class JsonLogs {
    private JsonLogs() {}

    static void install() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.setFormatter(new EcsFormatter());
        }
    }
}
