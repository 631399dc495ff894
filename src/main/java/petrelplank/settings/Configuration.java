package petrelplank.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import petrelplank.routing.RouterSettings;

/**
 * What a front is told at its start.
 *
 * @param name the front's name
 * @param listen where clients connect
 * @param seed for random numbers
 * @param sockets descriptors that the process may hold
 * @param memoryMb the memory limit
 * @param coordinator the coordinator's address
 * @param knownIndex the number of the last event in {@code known}
 * @param known the events so far, one object each
 * @param settings the settings, as the simulator tells them
 * @param streams attempts that one connection carries at once
 * @param idleUs servers close idle connections after this time
 * @param sizeScale bytes on the sockets over those that the settings and the clients count in
 */
public record Configuration(
        String name,
        InetSocketAddress listen,
        long seed,
        int sockets,
        int memoryMb,
        InetSocketAddress coordinator,
        long knownIndex,
        List<JsonFields> known,
        RouterSettings settings,
        int streams,
        long idleUs,
        double sizeScale) {
    private static final JsonFactory JSON = new JsonFactory();

    /**
     * Reads a configuration file.
     *
     * @param file the file
     * @return the configuration; FormatException or IllegalArgumentException names what is wrong
     * @throws IOException where it can't be read
     */
    public static Configuration read(File file) throws IOException {
        try (JsonParser in = JSON.createParser(file)) {
            if (in.nextToken() == null) {
                throw new FormatException("the file is empty");
            }
            return of(new JsonFields(JsonValue.object(JsonValue.read(in), "configuration"), "configuration"));
        }
    }

    static Configuration of(JsonFields f) {
        JsonFields limits = new JsonFields(f.object("limits"), "limits");
        JsonFields known = new JsonFields(f.object("known"), "known");
        Map<String, Object> setup = f.object("settings");
        JsonFields settings = new JsonFields(setup, "settings");
        JsonFields caps = new JsonFields(settings.object("caps"), "settings caps");
        return new Configuration(
                f.has("name") ? f.text("name") : "front",
                Addresses.parse(f.text("listen")),
                f.hex("seed"),
                (int) limits.whole("sockets", 1024),
                (int) limits.whole("memory_mb", 192),
                Addresses.parse(f.text("coordinator")),
                known.whole("index", 0),
                known.objects("updates").stream()
                        .map(u -> new JsonFields(u, "known update"))
                        .toList(),
                SettingsParser.settings(settings, f.number("flow_bytes_per_s", 0)),
                (int) Math.max(1, caps.whole("max-streams", 100)),
                Math.max(1, caps.whole("conn-idle-us", 15_000_000)),
                SettingsParser.sizeScale(settings, f.number("flow_bytes_per_s", 0)));
    }
}
