package petrelplank.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import petrelplank.proxy.DiscoveryEvent;
import petrelplank.routing.EndpointInfo;
import petrelplank.routing.EndpointState;
import petrelplank.settings.Addresses;
import petrelplank.settings.FormatException;
import petrelplank.settings.JsonFields;
import petrelplank.settings.JsonValue;

/** Decodes discovery events from lines of the discovery service's stream and from the configuration's known events. */
public final class DiscoveryEventDecoder {
    private static final JsonFactory JSON = JsonValue.factoryBuilder().build();
    /** The event with this index always holds the complete endpoint list, whatever its reset flag says. */
    private static final long FIRST_INDEX = 1;

    private static final int NO_GROUP = -1;
    private static final long US_PER_MS = 1000;

    private DiscoveryEventDecoder() {}

    /**
     * Decodes a line of the stream: a bare number is a heartbeat, a JSON object is an event or a heartbeat.
     *
     * @throws FormatException if the line is neither
     */
    static DiscoveryEvent decode(String line) {
        try (JsonParser parser = JSON.createParser(line)) {
            parser.nextToken();
            JsonValue value = JsonValue.read(parser);
            return value.isLong() ? new DiscoveryEvent.Heartbeat(value.asLong()) : decode(value.asObject("the event"));
        } catch (IOException e) {
            throw new FormatException("not valid JSON: " + e.getMessage());
        }
    }

    /**
     * Decodes an event from its JSON object.
     *
     * @param event the object
     * @return the event
     * @throws FormatException if a field is missing or has the wrong type
     */
    public static DiscoveryEvent decode(JsonFields event) {
        long index = event.integer("index");
        if (event.has("evict")) {
            return decodePurge(index, event.object("evict"));
        }
        if (event.has("endpoints")) {
            return decodeChange(index, event.object("endpoints"));
        }
        // An unknown kind of event is ignored, but its index counts as received, so that it is not taken for a gap.
        return event.only("index") ? new DiscoveryEvent.Heartbeat(index) : new DiscoveryEvent.Unknown(index);
    }

    private static DiscoveryEvent.Purge decodePurge(long index, JsonFields purge) {
        Long object = purge.has("ref") ? (Long) purge.hex("ref") : null;
        int group = (int) purge.integer("shard", NO_GROUP);
        return new DiscoveryEvent.Purge(index, object, group, purge.integer("unix_ms"));
    }

    private static DiscoveryEvent.EndpointChange decodeChange(long index, JsonFields endpoints) {
        List<DiscoveryEvent.EndpointEntry> entries = new ArrayList<>();
        for (JsonFields instance : endpoints.objects("instances", endpoints.path() + " instance")) {
            entries.add(decodeEntry(instance));
        }
        return new DiscoveryEvent.EndpointChange(index, index == FIRST_INDEX || endpoints.flag("reset"), entries);
    }

    private static DiscoveryEvent.EndpointEntry decodeEntry(JsonFields instance) {
        EndpointState state = decodeLifecycle(instance);
        EndpointInfo endpoint = new EndpointInfo(
                instance.text("instanceId"),
                instance.text("zone"),
                instance.text("machineType"),
                (int) instance.integer("cell", 0),
                state,
                instance.number("weight", 1),
                US_PER_MS * instance.integer("startedAtMs", 0));
        return new DiscoveryEvent.EndpointEntry(endpoint, Addresses.parse(instance.text("hostPort")));
    }

    private static EndpointState decodeLifecycle(JsonFields instance) {
        String lifecycle = instance.text("lifecycle");
        return switch (lifecycle) {
            case "active" -> EndpointState.UP;
            case "leaving" -> EndpointState.DRAINING;
            case "left" -> EndpointState.REMOVED;
            default ->
                throw new FormatException(
                        instance.path(), "unknown lifecycle " + lifecycle + ", expected active, leaving or left");
        };
    }
}
