package petrelplank.record;

import java.util.List;

/**
 * The order of the event types in the Avro union of the file schema. It is listed explicitly because {@link Event} has
 * no {@code permits} clause: the compiler then chooses the order of the permitted types, which changes with unrelated
 * sources. New types must be added at the end.
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
