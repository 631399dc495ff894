package petrelplank.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import petrelplank.routing.RouterSettings;
import petrelplank.settings.SettingsKeys.Capability;
import petrelplank.settings.SettingsKeys.Config;
import petrelplank.settings.SettingsKeys.Settings;

/**
 * The configuration file of one proxy.
 *
 * @param name the proxy's name
 * @param listenAddress the address at which clients connect
 * @param seed seeds the random numbers
 * @param maxDescriptors descriptors that the process may hold
 * @param memoryMb the memory limit of the process
 * @param discoveryAddress the address of the discovery service
 * @param knownIndex the number of the last event in {@code knownEvents}
 * @param knownEvents events of the discovery service up to that number, one object each
 * @param settings the settings of the router, as the simulator has them too
 * @param maxStreamsPerConnection requests in flight on one upstream connection at most
 * @param idleTimeoutUs servers close idle connections after this time
 * @param sizeScale bytes on the sockets over those that the settings and the clients count in
 */
public record Configuration(
        String name,
        InetSocketAddress listenAddress,
        long seed,
        int maxDescriptors,
        int memoryMb,
        InetSocketAddress discoveryAddress,
        long knownIndex,
        List<JsonFields> knownEvents,
        RouterSettings settings,
        int maxStreamsPerConnection,
        long idleTimeoutUs,
        double sizeScale) {
    private static final JsonFactory JSON = new JsonFactory();
    private static final String DEFAULT_NAME = "front";
    private static final int DEFAULT_MAX_DESCRIPTORS = 1024;
    private static final int DEFAULT_MEMORY_MB = 192;
    private static final int DEFAULT_MAX_STREAMS = 100;
    private static final long DEFAULT_IDLE_TIMEOUT_US = 15_000_000;

    /**
     * Reads a configuration file.
     *
     * @param file the file
     * @return the configuration; {@link FormatException} names the place and the rule that is broken there, and
     *     IllegalArgumentException a setting that contradicts another
     * @throws IOException where the file can't be read
     */
    public static Configuration read(File file) throws IOException {
        try (JsonParser parser = JSON.createParser(file)) {
            if (parser.nextToken() == null) {
                throw new FormatException("the file is empty");
            }
            return parse(JsonValue.read(parser).asObject("configuration"));
        }
    }

    private static Configuration parse(JsonFields file) {
        JsonFields limits = file.object(Config.LIMITS, Config.LIMITS);
        JsonFields known = file.object(Config.KNOWN, Config.KNOWN);
        JsonFields settings = file.object(Config.SETTINGS, Config.SETTINGS);
        JsonFields capabilities = settings.object(Settings.CAPABILITIES);
        return new Configuration(
                file.text(Config.NAME, DEFAULT_NAME),
                Addresses.parse(file.text(Config.LISTEN_ADDRESS)),
                file.hex(Config.SEED),
                (int) limits.integer(Config.MAX_DESCRIPTORS, DEFAULT_MAX_DESCRIPTORS),
                (int) limits.integer(Config.MEMORY_MB, DEFAULT_MEMORY_MB),
                Addresses.parse(file.text(Config.DISCOVERY_ADDRESS)),
                known.integer(Config.KNOWN_INDEX, 0),
                known.objects(Config.KNOWN_EVENTS, "known update"),
                SettingsParser.settings(settings, file.number(Config.FLOW_BYTES_PER_SECOND, 0)),
                (int) Math.max(1, capabilities.integer(Capability.MAX_STREAMS_PER_CONNECTION, DEFAULT_MAX_STREAMS)),
                Math.max(1, capabilities.integer(Capability.IDLE_TIMEOUT_US, DEFAULT_IDLE_TIMEOUT_US)),
                SettingsParser.sizeScale(settings, file.number(Config.FLOW_BYTES_PER_SECOND, 0)));
    }
}
