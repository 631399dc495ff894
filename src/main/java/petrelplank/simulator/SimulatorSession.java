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

/**
 * The state of one simulator run. Holds a router for each simulated proxy, delivers the events of each batch to them,
 * and writes a reply with the actions that they take.
 */
final class SimulatorSession {
    /** The number of stack frames in the report of a crash. */
    private static final int MAX_STACK_FRAMES = 6;

    private final JsonFactory jsonFactory = JsonValue.factoryBuilder()
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .build();
    private final SimulatorEventDecoder eventDecoder = new SimulatorEventDecoder();
    private final Map<Integer, Router> routers = new HashMap<>();
    /** Proxies whose router threw an exception; their events are ignored until they are provisioned again. */
    private final Set<Integer> crashedProxies = new HashSet<>();
    /** Generator of the reply that is being written. */
    private JsonGenerator replyGenerator;

    private record Batch(long nowUs, List<JsonFields> events) {}

    /**
     * Processes one batch of events and writes the reply.
     *
     * @param line a buffer that starts with the JSON of the batch
     * @param size the length of the JSON, in bytes
     * @param reply receives the actions, without a line terminator
     * @throws FormatException if the line is invalid; the reply is then incomplete
     * @throws IOException if the reply cannot be written
     */
    void process(byte[] line, int size, OutputStream reply) throws IOException {
        Batch batch = parse(line, size);
        replyGenerator = jsonFactory.createGenerator(reply);
        replyGenerator.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
        replyGenerator.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
        replyGenerator.writeStartObject();
        replyGenerator.writeArrayFieldStart("out");
        for (int i = 0; i < batch.events.size(); i++) {
            process(batch.nowUs, batch.events.get(i));
        }
        replyGenerator.writeEndArray();
        replyGenerator.writeEndObject();
        replyGenerator.close();
    }

    private Batch parse(byte[] line, int size) throws IOException {
        try (JsonParser parser = jsonFactory.createParser(line, 0, size)) {
            JsonValue value = parser.nextToken() == null ? JsonValue.NULL : JsonValue.read(parser);
            if (parser.nextToken() != null) {
                long offset = parser.currentLocation().getByteOffset();
                throw new FormatException(
                        "expected one JSON object per line, found another value before byte " + offset);
            }
            JsonFields batch = value.asObject("batch");
            return new Batch(batch.integer("clock-us"), batch.indexedObjects("in", "event"));
        } catch (JsonProcessingException e) {
            throw new FormatException("not JSON: " + e.getOriginalMessage() + ", near byte "
                    + e.getLocation().getByteOffset());
        }
    }

    private void process(long nowUs, JsonFields event) {
        String verb = event.text("verb");
        if (verb.equals("MANIFEST")) {
            eventDecoder.addEndpointList(event);
            return;
        }
        int proxyNumber = (int) event.integer("gateway");
        Runnable call = decodeCall(verb, proxyNumber, nowUs, event);
        try {
            call.run();
        } catch (RuntimeException e) {
            crashedProxies.add(proxyNumber);
            createActions(proxyNumber).reportCrash(describeCrash(e));
        }
    }

    /**
     * Returns the call that handles the event. The event is decoded here, before the call, so that an exception of the
     * call is a crash of the router and not an invalid event.
     */
    private Runnable decodeCall(String verb, int proxyNumber, long nowUs, JsonFields event) {
        return switch (verb) {
            case "PROVISION" -> decodeProvision(proxyNumber, event);
            case "TEARDOWN" -> () -> routers.remove(proxyNumber);
            default -> {
                Router router = routers.get(proxyNumber);
                RouterEvent decoded = decodeRouterEvent(verb, proxyNumber, event);
                yield () -> decoded.deliver(router, nowUs);
            }
        };
    }

    private Runnable decodeProvision(int proxyNumber, JsonFields event) {
        JsonFields setup = event.object("setup", "setup");
        long seed = event.integer("nonce64");
        return () -> {
            crashedProxies.remove(proxyNumber);
            routers.put(
                    proxyNumber, new RequestRouter(SettingsParser.settings(setup), seed, createActions(proxyNumber)));
        };
    }

    private RouterEvent decodeRouterEvent(String verb, int proxyNumber, JsonFields event) {
        if (crashedProxies.contains(proxyNumber)) {
            return RouterEvent.IGNORED;
        }
        if (!routers.containsKey(proxyNumber)) {
            throw new FormatException(
                    event.path(), "gateway " + proxyNumber + " has no router: no PROVISION event, or a TEARDOWN since");
        }
        return eventDecoder.decode(verb, event);
    }

    private SimulatorActions createActions(int proxyNumber) {
        return new SimulatorActions(proxyNumber, () -> replyGenerator);
    }

    private static String describeCrash(RuntimeException exception) {
        StringBuilder text = new StringBuilder(exception.toString());
        StackTraceElement[] frames = exception.getStackTrace();
        for (int i = 0; i < Math.min(MAX_STACK_FRAMES, frames.length); i++) {
            text.append(" at ").append(frames[i]);
        }
        return text.toString();
    }
}
