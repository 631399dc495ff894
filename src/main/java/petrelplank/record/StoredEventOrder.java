package petrelplank.record;

import java.util.List;

/**
 * The order of the event types in the union of the files' schema. It is listed here since the compiler, where a sealed
 * interface names no permitted types, puts them into an order of its own, which changes with unrelated sources. A new
 * type is added at the end.
 */
final class StoredEventOrder {
    static final List<Class<? extends Event>> TYPES = List.of(
            Event.AttemptEnded.class,
            Event.ProxyStarted.class,
            Event.Purged.class,
            Event.EndpointsChanged.class,
            Event.RequestAdmitted.class,
            Event.AttemptSent.class,
            Event.RequestCompleted.class,
            Event.ClientDisconnected.class,
            Event.RequestRejected.class,
            Event.EndpointEjected.class,
            Event.EndpointRecovered.class,
            Event.Heartbeat.class,
            Event.DrainStarted.class,
            Event.ProxyStopped.class,
            Event.EventsLost.class);

    private StoredEventOrder() {}
}
