package petrelplank.simulator;

import java.util.ArrayList;
import java.util.List;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;
import petrelplank.routing.EndpointInfo;
import petrelplank.routing.EndpointState;
import petrelplank.settings.FormatException;
import petrelplank.settings.JsonFields;

/** Decodes the typed fields of the simulator's events. */
final class SimulatorEventDecoder {
    private static final AttemptStatus[] STATUS = {
        null,
        AttemptStatus.OK,
        AttemptStatus.ERROR,
        AttemptStatus.REJECTED,
        AttemptStatus.TIMEOUT,
        AttemptStatus.CONNECT_FAILED,
        AttemptStatus.RESET,
        AttemptStatus.CANCELLED,
        AttemptStatus.NOT_SENT,
        AttemptStatus.MISS
    };

    private static final CacheStatus[] NOTE = CacheStatus.values();

    private SimulatorEventDecoder() {}

    static AttemptStatus status(JsonFields f) {
        long code = f.integer("rc");
        if (code < 1 || code >= STATUS.length) {
            throw new FormatException(f.path(), "rc " + code + " is none of the endings");
        }
        return STATUS[(int) code];
    }

    static CacheStatus cacheStatus(JsonFields f) {
        long code = f.integer("note", 0);
        return code < 0 || code >= NOTE.length ? CacheStatus.NONE : NOTE[(int) code];
    }

    static List<EndpointInfo> members(JsonFields f) {
        List<JsonFields> entries = f.indexedObjects("nodes-list", f.path() + " entry");
        List<EndpointInfo> members = new ArrayList<>(entries.size());
        for (JsonFields e : entries) {
            String mode = e.text("mode");
            EndpointState state = switch (mode) {
                case "up" -> EndpointState.UP;
                case "draining" -> EndpointState.DRAINING;
                case "removed" -> EndpointState.REMOVED;
                default -> throw new FormatException(e.path(), "mode \"" + mode + "\" is unknown");
            };
            members.add(new EndpointInfo(
                    e.text("cache"),
                    e.text("rack-zone"),
                    e.text("hw"),
                    (int) e.integer("block", 0),
                    state,
                    e.number("share", 1),
                    e.integer("born-us", 0)));
        }
        return members;
    }

    /** A request's tenant; null where the site tells none, which is said by 0, too. */
    static String tenant(JsonFields f) {
        return f.has("billing") && !f.is("billing", 0) ? f.text("billing") : null;
    }
}
