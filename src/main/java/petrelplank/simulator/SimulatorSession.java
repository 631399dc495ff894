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
import petrelplank.routing.AttemptOutcome;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.EndpointInfo;
import petrelplank.routing.RequestRouter;
import petrelplank.routing.Router;
import petrelplank.routing.RoutingRequest;
import petrelplank.settings.FormatException;
import petrelplank.settings.JsonFields;
import petrelplank.settings.JsonValue;
import petrelplank.settings.SettingsParser;

/** The wire: turns batches into calls of the routers and their actions into replies. */
final class SimulatorSession {

    private final JsonFactory json = JsonFactory.builder()
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .build();
    private final Map<Integer, Router> routers = new HashMap<>();
    private final Set<Integer> crashed = new HashSet<>();
    private final Map<Integer, List<EndpointInfo>> lists = new HashMap<>();
    private JsonGenerator out;

    /** Answers one batch; the reply goes out without a line end. */
    void answer(byte[] line, int size, OutputStream output) throws IOException {
        List<JsonFields> events;
        long now;
        try (JsonParser in = json.createParser(line, 0, size)) {
            JsonValue batch = in.nextToken() == null ? JsonValue.NULL : JsonValue.read(in);
            if (in.nextToken() != null) {
                throw new FormatException("more than one value on the line, at " + at(in));
            }
            JsonFields fields = batch.asObject("the batch");
            now = fields.integer("clock-us");
            events = fields.indexedObjects("in", "event");
        } catch (JsonProcessingException e) {
            throw new FormatException("not JSON: " + e.getOriginalMessage() + ", at byte "
                    + e.getLocation().getByteOffset());
        }
        out = json.createGenerator(output);
        out.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
        out.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
        out.writeStartObject();
        out.writeArrayFieldStart("out");
        for (JsonFields event : events) {
            event(now, event);
        }
        out.writeEndArray();
        out.writeEndObject();
        out.close();
    }

    private static String at(JsonParser in) {
        return "byte " + in.currentLocation().getByteOffset();
    }

    private void event(long now, JsonFields f) throws IOException {
        String verb = f.text("verb");
        if (verb.equals("MANIFEST")) {
            lists.put((int) f.integer("list"), SimulatorEventDecoder.members(f));
            return;
        }
        int gateway = (int) f.integer("gateway");
        Call call = decode(now, verb, gateway, f);
        try {
            call.run();
        } catch (RuntimeException e) {
            crashed.add(gateway);
            reply(gateway).line("CRASH", "words", trace(e));
        }
    }

    private SimulatorActions reply(int gateway) {
        return new SimulatorActions(gateway, () -> out);
    }

    private interface Call {
        void run();
    }

    private Call decode(long now, String verb, int gateway, JsonFields f) {
        if (verb.equals("PROVISION")) {
            JsonFields setup = f.object("setup", "setup");
            long seed = f.integer("nonce64");
            return () -> {
                crashed.remove(gateway);
                routers.put(gateway, new RequestRouter(SettingsParser.settings(setup), seed, reply(gateway)));
            };
        }
        if (verb.equals("TEARDOWN")) {
            return () -> routers.remove(gateway);
        }
        Router router = routers.get(gateway);
        if (crashed.contains(gateway)) {
            return () -> {};
        }
        if (router == null) {
            throw new FormatException(f.path(), "gateway " + gateway + " was not provisioned");
        }
        switch (verb) {
            case "REGISTRY": {
                String how = f.text("how");
                if (how.equals("X")) {
                    return () -> router.discoveryFailed(now);
                }
                List<EndpointInfo> list = lists.get((int) f.integer("list"));
                if (list == null) {
                    throw new FormatException(f.path(), "no list " + f.integer("list"));
                }
                return () -> router.endpointsChanged(now, !how.equals("D"), list);
            }
            case "ACCEPT": {
                RoutingRequest request = new RoutingRequest(
                        f.text("job"),
                        f.hex("resource"),
                        f.integer("part", 0),
                        (int) f.integer("label-no", 0),
                        f.text("grade"),
                        f.integer("not-after-us"),
                        f.number("length-kb", 0),
                        f.flag("is-write"),
                        f.flag("repeat"),
                        SimulatorEventDecoder.tenant(f));
                return () -> router.requestReceived(now, request);
            }
            case "OUTCOME": {
                AttemptOutcome outcome = new AttemptOutcome(
                        f.text("job"),
                        (int) f.integer("send-no"),
                        SimulatorEventDecoder.status(f),
                        f.integer("lag-us"),
                        f.flag("settled"),
                        SimulatorEventDecoder.cacheStatus(f),
                        f.integer("source-wait-us", 0),
                        f.numbers("load"),
                        0);
                return () -> router.attemptEnded(now, outcome);
            }
            case "ESTABLISHED": {
                String job = f.text("job");
                int attempt = (int) f.integer("send-no");
                return () -> router.streamStarted(now, job, attempt);
            }
            case "CLIENT_GONE": {
                String job = f.text("job");
                return () -> router.clientDisconnected(now, job);
            }
            case "TIMEOUT_FIRED": {
                long nonce = f.integer("nonce");
                return () -> router.timerFired(now, nonce);
            }
            case "OUTDATED": {
                long age = f.integer("copy-age-us");
                if (f.has("resource")) {
                    long object = f.hex("resource");
                    return () -> router.objectPurged(now, object, age);
                }
                int group = (int) f.integer("group");
                return () -> router.groupPurged(now, group, age);
            }
            case "CHECKED": {
                String cache = f.text("cache");
                AttemptStatus status = SimulatorEventDecoder.status(f);
                long lag = f.integer("lag-us");
                double[] load = f.numbers("load");
                return () -> router.healthChecked(now, cache, status, lag, load);
            }
            case "MAIL": {
                int from = (int) f.integer("neighbour");
                byte[] data = f.bytes("bytes");
                return () -> router.gossipReceived(now, from, data);
            }
            default:
                throw new FormatException(f.path(), "unknown verb \"" + verb + "\"");
        }
    }

    private static String trace(RuntimeException e) {
        StringBuilder text = new StringBuilder(e.toString());
        StackTraceElement[] frames = e.getStackTrace();
        for (int i = 0; i < Math.min(6, frames.length); i++) {
            text.append(" at ").append(frames[i]);
        }
        return text.toString();
    }
}
