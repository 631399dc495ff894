package petrelplank.simulator;

import java.util.ArrayList;
import java.util.List;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;
import petrelplank.routing.EndpointInfo;
import petrelplank.routing.EndpointState;
import petrelplank.settings.FormatException;
import petrelplank.settings.JsonFields;

/** Decodes fields of simulator events into the types of the router. */
final class SimulatorFieldDecoder {
    /** The attempt statuses, indexed by their codes in the simulator's protocol, which has no code 0. */
    private static final AttemptStatus[] ATTEMPT_STATUS_BY_CODE = {
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

    /** The cache statuses, indexed by their codes in the simulator's protocol. */
    private static final CacheStatus[] CACHE_STATUS_BY_CODE = {
        CacheStatus.NONE,
        CacheStatus.HIT,
        CacheStatus.FILLED,
        CacheStatus.FILLED_FROM_ORIGIN,
        CacheStatus.COALESCED,
        CacheStatus.STALE,
        CacheStatus.SOURCE_REJECTED,
        CacheStatus.SOURCE_UNREACHABLE,
        CacheStatus.SOURCE_MISS,
        CacheStatus.FILL_LIMIT_REACHED,
        CacheStatus.ORIGIN_FAILED
    };

    private SimulatorFieldDecoder() {}

    static AttemptStatus attemptStatus(JsonFields event) {
        long code = event.integer("rc");
        if (code < 1 || code >= ATTEMPT_STATUS_BY_CODE.length) {
            throw new FormatException(event.path(), "rc " + code + " is not an attempt status; expected 1 to 9");
        }
        return ATTEMPT_STATUS_BY_CODE[(int) code];
    }

    /** Decodes the cache status; an absent or unknown code becomes {@link CacheStatus#NONE}. */
    static CacheStatus cacheStatus(JsonFields event) {
        long code = event.integer("note", 0);
        if (code < 0 || code >= CACHE_STATUS_BY_CODE.length) {
            return CacheStatus.NONE;
        }
        return CACHE_STATUS_BY_CODE[(int) code];
    }

    static List<EndpointInfo> endpoints(JsonFields event) {
        List<JsonFields> entries = event.indexedObjects("nodes-list", event.path() + " entry");
        List<EndpointInfo> endpoints = new ArrayList<>(entries.size());
        for (int i = 0; i < entries.size(); i++) {
            endpoints.add(endpoint(entries.get(i)));
        }
        return endpoints;
    }

    private static EndpointInfo endpoint(JsonFields entry) {
        EndpointState state = state(entry);
        return new EndpointInfo(
                entry.text("cache"),
                entry.text("rack-zone"),
                entry.text("hw"),
                (int) entry.integer("block", 0),
                state,
                entry.number("share", 1),
                entry.integer("born-us", 0));
    }

    private static EndpointState state(JsonFields entry) {
        String mode = entry.text("mode");
        return switch (mode) {
            case "up" -> EndpointState.UP;
            case "draining" -> EndpointState.DRAINING;
            case "removed" -> EndpointState.REMOVED;
            default ->
                throw new FormatException(
                        entry.path(), "\"mode\" is \"" + mode + "\"; expected up, draining or removed");
        };
    }

    /** Returns the tenant of a request, or null if it has none: the field is then absent, null or 0. */
    static String tenant(JsonFields event) {
        return event.has("billing") && !event.is("billing", 0) ? event.text("billing") : null;
    }
}
