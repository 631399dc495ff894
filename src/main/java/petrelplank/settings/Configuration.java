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
 * The contents of the configuration file of one proxy.
 *
 * @param name the proxy's name
 * @param listenAddress the address at which clients connect
 * @param seed the seed of the random number generator
 * @param maxDescriptors maximum number of file descriptors that the process may have open
 * @param memoryMb the memory limit of the process, in MB
 * @param discoveryAddress the address of the discovery service
 * @param knownIndex the index of the last discovery event in {@code knownEvents}
 * @param knownEvents the events of the discovery service up to and including {@code knownIndex}, in JSON form
 * @param settings the router settings, in the JSON format that the simulator sends as well
 * @param maxStreamsPerConnection maximum number of requests in flight on one upstream connection
 * @param idleTimeoutUs how long servers keep an idle connection open
 * @param sizeScale bytes sent on a socket for each byte in the units of the settings and the clients: the highest
 *     rate of a response in the configuration file, divided by that in the settings; 1 if either is missing or 0
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
    private static final JsonFactory JSON_FACTORY = JsonValue.factoryBuilder().build();
    private static final String DEFAULT_NAME = "front";
    private static final int DEFAULT_MAX_FILE_DESCRIPTORS = 1024;
    private static final int DEFAULT_MEMORY_MB = 192;
    private static final int DEFAULT_MAX_STREAMS = 100;
    private static final long DEFAULT_IDLE_TIMEOUT_US = 15_000_000;

    /**
     * Reads a configuration file.
     *
     * @param file the file
     * @return the configuration
     * @throws FormatException if a value is missing or invalid; names its path and what is wrong
     * @throws IllegalArgumentException if settings contradict each other
     * @throws IOException if the file can't be read
     */
    public static Configuration read(File file) throws IOException {
        try (JsonParser parser = JSON_FACTORY.createParser(file)) {
            if (parser.nextToken() == null) {
                throw new FormatException("the configuration file is empty, expected a JSON object");
            }
            return parse(JsonValue.read(parser).asObject("configuration"));
        }
    }

    private static Configuration parse(JsonFields file) {
        JsonFields limits = file.object(Config.LIMITS, Config.LIMITS);
        JsonFields knownState = file.object(Config.KNOWN_STATE, Config.KNOWN_STATE);
        JsonFields settings = file.object(Config.SETTINGS, Config.SETTINGS);
        JsonFields capabilities = settings.object(Settings.CAPABILITIES);
        return new Configuration(
                file.text(Config.NAME, DEFAULT_NAME),
                Addresses.parse(file.text(Config.LISTEN_ADDRESS)),
                file.hex(Config.SEED),
                (int) limits.integer(Config.MAX_FILE_DESCRIPTORS, DEFAULT_MAX_FILE_DESCRIPTORS),
                (int) limits.integer(Config.MEMORY_MB, DEFAULT_MEMORY_MB),
                Addresses.parse(file.text(Config.DISCOVERY_ADDRESS)),
                knownState.integer(Config.KNOWN_INDEX, 0),
                knownState.objects(Config.KNOWN_EVENTS, "known updates entry"),
                SettingsParser.settings(settings, file.number(Config.MAX_RESPONSE_BYTES_PER_SECOND, 0)),
                (int) Math.max(1, capabilities.integer(Capability.MAX_STREAMS_PER_CONNECTION, DEFAULT_MAX_STREAMS)),
                Math.max(1, capabilities.integer(Capability.IDLE_TIMEOUT_US, DEFAULT_IDLE_TIMEOUT_US)),
                SettingsParser.sizeScale(settings, file.number(Config.MAX_RESPONSE_BYTES_PER_SECOND, 0)));
    }
}
