package petrelplank.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import petrelplank.proxy.DiscoveryEvent;
import petrelplank.routing.EndpointInfo;
import petrelplank.routing.EndpointState;
import petrelplank.settings.Addresses;
import petrelplank.settings.FormatException;
import petrelplank.settings.JsonFields;
import petrelplank.settings.JsonValue;

/** Reads the coordinator's events, from its lines and from the configuration. */
public final class DiscoveryEventDecoder {
    private static final JsonFactory JSON = new JsonFactory();

    private DiscoveryEventDecoder() {}

    static DiscoveryEvent decode(String line) {
        try (JsonParser in = JSON.createParser(line)) {
            in.nextToken();
            JsonValue value = JsonValue.read(in);
            return value.isLong() ? new DiscoveryEvent.Beat(value.asLong()) : decode(value.asObject("the event"));
        } catch (IOException e) {
            throw new FormatException("not JSON: " + e.getMessage());
        }
    }

    /**
     * The event that an object holds.
     *
     * @param f the object
     * @return the event
     */
    public static DiscoveryEvent decode(JsonFields f) {
        long index = f.integer("index");
        if (f.has("evict")) {
            JsonFields purge = f.object("evict");
            Long object = purge.has("ref") ? (Long) purge.hex("ref") : null;
            return new DiscoveryEvent.Purge(index, object, (int) purge.integer("shard", -1), purge.integer("unix_ms"));
        }
        if (!f.has("endpoints")) {
            // Guards against a kind of event not known here: it is passed over, and its number counts as heard.
            return f.only("index") ? new DiscoveryEvent.Beat(index) : new DiscoveryEvent.Other(index);
        }
        JsonFields list = f.object("endpoints");
        List<DiscoveryEvent.Entry> entries = new ArrayList<>();
        for (JsonFields e : list.objects("instances", list.path() + " instance")) {
            EndpointState state = switch (e.text("lifecycle")) {
                case "active" -> EndpointState.UP;
                case "leaving" -> EndpointState.DRAINING;
                case "left" -> EndpointState.REMOVED;
                default -> throw new FormatException(e.path(), "lifecycle " + e.text("lifecycle"));
            };
            EndpointInfo member = new EndpointInfo(
                    e.text("instanceId"),
                    e.text("zone"),
                    e.text("machineType"),
                    (int) e.integer("cell", 0),
                    state,
                    e.number("weight", 1),
                    1000 * e.integer("startedAtMs", 0));
            InetSocketAddress address = Addresses.parse(e.text("hostPort"));
            entries.add(new DiscoveryEvent.Entry(member, address));
        }
        return new DiscoveryEvent.Change(index, index == 1 || list.flag("reset"), entries);
    }
}
