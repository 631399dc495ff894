package petrelplank.simulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import petrelplank.routing.AttemptOutcome;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.EndpointInfo;
import petrelplank.routing.RoutingRequest;
import petrelplank.settings.FormatException;
import petrelplank.settings.JsonFields;

/**
 * Decodes simulator events into calls of a router. All fields are read before the router is called, so an invalid event
 * never reaches it in part.
 */
final class SimulatorEventDecoder {
    /** Value of the field {@code how}: the simulated discovery service failed and there is no list. */
    private static final String CHANGE_DISCOVERY_FAILED = "X";

    /** Value of the field {@code how}: the list holds only the endpoints that changed. */
    private static final String CHANGE_PARTIAL_LIST = "D";

    /** Endpoint lists by number. The simulator sends each list once, and later events refer to its number. */
    private final Map<Integer, List<EndpointInfo>> endpointLists = new HashMap<>();

    /** Stores the endpoint list of a {@code MANIFEST} event, to which later events refer by number. */
    void addEndpointList(JsonFields event) {
        endpointLists.put((int) event.integer("list"), SimulatorFieldDecoder.endpoints(event));
    }

    /**
     * Decodes one event.
     *
     * @throws FormatException if its verb is unknown, or a field is missing or has the wrong type
     */
    RouterEvent decode(String verb, JsonFields event) {
        return switch (verb) {
            case "REGISTRY" -> endpointsChanged(event);
            case "ACCEPT" -> requestReceived(event);
            case "OUTCOME" -> attemptEnded(event);
            case "ESTABLISHED" -> streamStarted(event);
            case "CLIENT_GONE" -> clientDisconnected(event);
            case "TIMEOUT_FIRED" -> timerFired(event);
            case "OUTDATED" -> purged(event);
            case "CHECKED" -> healthChecked(event);
            case "MAIL" -> gossipReceived(event);
            default -> throw new FormatException(event.path(), "unknown verb \"" + verb + "\"");
        };
    }

    private RouterEvent endpointsChanged(JsonFields event) {
        String changeKind = event.text("how");
        if (changeKind.equals(CHANGE_DISCOVERY_FAILED)) {
            return (router, nowUs) -> router.discoveryFailed(nowUs);
        }
        boolean complete = !changeKind.equals(CHANGE_PARTIAL_LIST);
        int listNumber = (int) event.integer("list");
        List<EndpointInfo> endpoints = endpointLists.get(listNumber);
        if (endpoints == null) {
            throw new FormatException(
                    event.path(),
                    "\"list\" refers to endpoint list " + event.integer("list")
                            + ", which no MANIFEST event has defined");
        }
        return (router, nowUs) -> router.endpointsChanged(nowUs, complete, endpoints);
    }

    private static RouterEvent requestReceived(JsonFields event) {
        RoutingRequest request = new RoutingRequest(
                event.text("job"),
                event.hex("resource"),
                event.integer("part", 0),
                (int) event.integer("label-no", 0),
                event.text("grade"),
                event.integer("not-after-us"),
                event.number("length-kb", 0),
                event.flag("is-write"),
                event.flag("repeat"),
                SimulatorFieldDecoder.tenant(event));
        return (router, nowUs) -> router.requestReceived(nowUs, request);
    }

    private static RouterEvent attemptEnded(JsonFields event) {
        AttemptOutcome outcome = new AttemptOutcome(
                event.text("job"),
                (int) event.integer("send-no"),
                SimulatorFieldDecoder.attemptStatus(event),
                event.integer("lag-us"),
                event.flag("settled"),
                SimulatorFieldDecoder.cacheStatus(event),
                event.integer("source-wait-us", 0),
                event.numbers("load"),
                0);
        return (router, nowUs) -> router.attemptEnded(nowUs, outcome);
    }

    private static RouterEvent streamStarted(JsonFields event) {
        String request = event.text("job");
        int attempt = (int) event.integer("send-no");
        return (router, nowUs) -> router.streamStarted(nowUs, request, attempt);
    }

    private static RouterEvent clientDisconnected(JsonFields event) {
        String request = event.text("job");
        return (router, nowUs) -> router.clientDisconnected(nowUs, request);
    }

    private static RouterEvent timerFired(JsonFields event) {
        long token = event.integer("nonce");
        return (router, nowUs) -> router.timerFired(nowUs, token);
    }

    private static RouterEvent purged(JsonFields event) {
        long ageUs = event.integer("copy-age-us");
        if (event.has("resource")) {
            long object = event.hex("resource");
            return (router, nowUs) -> router.objectPurged(nowUs, object, ageUs);
        }
        int group = (int) event.integer("group");
        return (router, nowUs) -> router.groupPurged(nowUs, group, ageUs);
    }

    private static RouterEvent healthChecked(JsonFields event) {
        String endpoint = event.text("cache");
        AttemptStatus status = SimulatorFieldDecoder.attemptStatus(event);
        long latencyUs = event.integer("lag-us");
        double[] load = event.numbers("load");
        return (router, nowUs) -> router.healthChecked(nowUs, endpoint, status, latencyUs, load);
    }

    private static RouterEvent gossipReceived(JsonFields event) {
        int sender = (int) event.integer("neighbour");
        byte[] message = event.bytes("bytes");
        return (router, nowUs) -> router.gossipReceived(nowUs, sender, message);
    }
}
