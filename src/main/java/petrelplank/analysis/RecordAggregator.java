package petrelplank.analysis;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import petrelplank.record.Entry;
import petrelplank.record.Event;

/**
 * Aggregates entries by incarnation and by endpoint. Whatever order they come in, and however often one is repeated,
 * the state is the same: each entry is counted once by its number, sums are of integers, and what depends on other
 * entries is worked out by {@link IncidentTimeline}. For one thread.
 */
public final class RecordAggregator {
    /** Takes one type of event. */
    private interface Handler<E extends Event> {
        void handle(Incarnation incarnation, long unixUs, E event);
    }

    private final Map<Class<?>, Handler<Event>> handlers = new HashMap<>();
    private final Map<String, Incarnation> incarnations = new TreeMap<>();
    private final Map<String, EndpointStatistics> endpoints = new TreeMap<>();
    private long entries;
    private long duplicates;

    /** Nothing is known yet. */
    public RecordAggregator() {
        on(Event.ProxyStarted.class, Incarnation::proxyStarted);
        on(Event.ProxyStopped.class, (incarnation, unixUs, event) -> incarnation.proxyStopped());
        on(Event.EventsLost.class, (incarnation, unixUs, event) -> incarnation.eventsLost(event));
        on(Event.Heartbeat.class, Incarnation::heartbeat);
        on(Event.EndpointEjected.class, Incarnation::endpointEjected);
        on(Event.EndpointRecovered.class, Incarnation::endpointRecovered);
        on(
                Event.EndpointsChanged.class,
                (incarnation, unixUs, event) ->
                        incarnation.endpointNotifications().add(event, unixUs));
        on(
                Event.Purged.class,
                (incarnation, unixUs, event) -> incarnation.purgeNotifications().add(event, unixUs));
        on(
                Event.RequestAdmitted.class,
                (incarnation, unixUs, event) -> incarnation.requests().admitted(unixUs, event));
        on(
                Event.RequestCompleted.class,
                (incarnation, unixUs, event) -> incarnation.requests().completed(unixUs, event));
        on(
                Event.ClientDisconnected.class,
                (incarnation, unixUs, event) -> incarnation.requests().clientDisconnected(event));
        on(
                Event.RequestRejected.class,
                (incarnation, unixUs, event) -> incarnation.requests().rejected(event));
        on(Event.AttemptSent.class, this::attemptSent);
        on(Event.AttemptEnded.class, this::attemptEnded);
    }

    private <E extends Event> void on(Class<E> type, Handler<E> handler) {
        handlers.put(type, (incarnation, unixUs, event) -> handler.handle(incarnation, unixUs, type.cast(event)));
    }

    /**
     * Takes an entry.
     *
     * @param entry the entry
     */
    public void add(Entry entry) {
        Incarnation incarnation = incarnations.computeIfAbsent(
                entry.proxy() + " " + String.format("%016x", entry.incarnation()),
                key -> new Incarnation(entry.proxy(), entry.incarnation()));
        if (!incarnation.markSeen(entry.number(), entry.unixUs())) {
            duplicates++;
            return;
        }
        entries++;
        Handler<Event> handler = handlers.get(entry.event().getClass());
        if (handler != null) {
            handler.handle(incarnation, entry.unixUs(), entry.event());
        }
    }

    private EndpointStatistics endpoint(String id) {
        return endpoints.computeIfAbsent(id, key -> new EndpointStatistics());
    }

    private void attemptSent(Incarnation incarnation, long unixUs, Event.AttemptSent event) {
        endpoint(event.server()).attemptSent(unixUs);
        incarnation.attempts().sent(unixUs, event);
    }

    private void attemptEnded(Incarnation incarnation, long unixUs, Event.AttemptEnded event) {
        endpoint(event.server()).attemptEnded(event, unixUs);
        if (event.source() != null && !event.source().equals(event.server())) {
            endpoint(event.source()).fillEnded(event, unixUs);
        }
        incarnation.attempts().ended(unixUs, event);
    }

    /**
     * Entries counted.
     *
     * @return each once
     */
    public long entries() {
        return entries;
    }

    /**
     * Entries that came again.
     *
     * @return how many
     */
    public long duplicates() {
        return duplicates;
    }

    /**
     * The incarnations of proxies.
     *
     * @return by proxy, then by incarnation
     */
    public Collection<Incarnation> incarnations() {
        return incarnations.values();
    }

    /**
     * What was seen of endpoints.
     *
     * @return by id
     */
    public Map<String, EndpointStatistics> endpoints() {
        return endpoints;
    }
}
