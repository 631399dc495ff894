package petrelplank.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import petrelplank.routing.RequestRouter;
import petrelplank.routing.Router;
import petrelplank.settings.FormatException;
import petrelplank.settings.JsonFields;
import petrelplank.settings.JsonValue;
import petrelplank.settings.SettingsParser;

/** A run of the simulator: its routers, and the batches that turn into calls of them and replies with their actions. */
final class SimulatorSession {
    /** Stack frames that a crash is reported with. */
    private static final int MAX_STACK_FRAMES = 6;

    private final JsonFactory json = JsonFactory.builder()
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .build();
    private final SimulatorEventDecoder decoder = new SimulatorEventDecoder();
    private final Map<Integer, Router> routers = new HashMap<>();
    /** Gateways whose router threw an exception; they get no events until they are provisioned again. */
    private final Set<Integer> crashed = new HashSet<>();
    /** Of the reply that is being written. */
    private JsonGenerator output;

    private record Batch(long nowUs, List<JsonFields> events) {}

    /**
     * Processes one batch.
     *
     * @param line its JSON, in the first {@code size} bytes
     * @param size bytes of the line
     * @param reply gets the actions, without a line end
     * @throws FormatException where the line is illegal; the reply is then incomplete
     */
    void process(byte[] line, int size, OutputStream reply) throws IOException {
        Batch batch = parse(line, size);
        output = json.createGenerator(reply);
        output.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
        output.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
        output.writeStartObject();
        output.writeArrayFieldStart("out");
        for (int i = 0; i < batch.events.size(); i++) {
            process(batch.nowUs, batch.events.get(i));
        }
        output.writeEndArray();
        output.writeEndObject();
        output.close();
    }

    private Batch parse(byte[] line, int size) throws IOException {
        try (JsonParser parser = json.createParser(line, 0, size)) {
            JsonValue value = parser.nextToken() == null ? JsonValue.NULL : JsonValue.read(parser);
            if (parser.nextToken() != null) {
                long offset = parser.currentLocation().getByteOffset();
                throw new FormatException("more than one value on the line, at byte " + offset);
            }
            JsonFields batch = value.asObject("the batch");
            return new Batch(batch.integer("clock-us"), batch.indexedObjects("in", "event"));
        } catch (JsonProcessingException e) {
            throw new FormatException("not JSON: " + e.getOriginalMessage() + ", at byte "
                    + e.getLocation().getByteOffset());
        }
    }

    private void process(long nowUs, JsonFields event) {
        String verb = event.text("verb");
        if (verb.equals("MANIFEST")) {
            decoder.addEndpointList(event);
            return;
        }
        int gateway = (int) event.integer("gateway");
        Runnable call = decode(verb, gateway, nowUs, event);
        try {
            call.run();
        } catch (RuntimeException e) {
            crashed.add(gateway);
            actions(gateway).crashed(describe(e));
        }
    }

    /** What the event does; it is decoded here, so that a call fails by the router's fault alone. */
    private Runnable decode(String verb, int gateway, long nowUs, JsonFields event) {
        return switch (verb) {
            case "PROVISION" -> provision(gateway, event);
            case "TEARDOWN" -> () -> routers.remove(gateway);
            default -> {
                Router router = routers.get(gateway);
                RouterEvent decoded = routerEvent(verb, gateway, event);
                yield () -> decoded.deliver(router, nowUs);
            }
        };
    }

    private Runnable provision(int gateway, JsonFields event) {
        JsonFields setup = event.object("setup", "setup");
        long seed = event.integer("nonce64");
        return () -> {
            crashed.remove(gateway);
            routers.put(gateway, new RequestRouter(SettingsParser.settings(setup), seed, actions(gateway)));
        };
    }

    private RouterEvent routerEvent(String verb, int gateway, JsonFields event) {
        if (crashed.contains(gateway)) {
            return RouterEvent.IGNORED;
        }
        if (!routers.containsKey(gateway)) {
            throw new FormatException(event.path(), "gateway " + gateway + " was not provisioned");
        }
        return decoder.decode(verb, event);
    }

    private SimulatorActions actions(int gateway) {
        return new SimulatorActions(gateway, () -> output);
    }

    private static String describe(RuntimeException fault) {
        StringBuilder text = new StringBuilder(fault.toString());
        StackTraceElement[] frames = fault.getStackTrace();
        for (int i = 0; i < Math.min(MAX_STACK_FRAMES, frames.length); i++) {
            text.append(" at ").append(frames[i]);
        }
        return text.toString();
    }
}
