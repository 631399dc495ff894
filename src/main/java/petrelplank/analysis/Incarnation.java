package petrelplank.analysis;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import petrelplank.record.Event;

/** One incarnation of a proxy, from its start to its end: what its entries say, each counted once. */
public final class Incarnation {
    /**
     * Entry numbers that are missing, and between which times.
     *
     * @param first the first missing number
     * @param last the last missing number
     * @param fromS Unix second of the entry before
     * @param toS Unix second of the entry behind
     */
    public record Gap(long first, long last, long fromS, long toS) {
        /**
         * How many entries are missing.
         *
         * @return the count
         */
        public long size() {
            return last - first + 1;
        }
    }

    private final String proxy;
    private final long id;
    private Event.ProxyStarted started;
    private long startedUs;
    private boolean stopped;
    private long firstUs = Long.MAX_VALUE;
    private long lastUs = Long.MIN_VALUE;
    private long lostEvents;
    private final EntryNumbers numbers = new EntryNumbers();
    private final Map<Long, Event.Heartbeat> heartbeats = new TreeMap<>();
    private final RequestLog requests = new RequestLog();
    private final AttemptLog attempts = new AttemptLog();
    private final EndpointNotifications endpointNotifications = new EndpointNotifications();
    private final PurgeNotifications purgeNotifications = new PurgeNotifications();
    private final Map<String, HealthChanges> health = new TreeMap<>();

    Incarnation(String proxy, long id) {
        this.proxy = proxy;
        this.id = id;
    }

    /** Notes an entry's number; false where it had come before. */
    boolean markSeen(long number, long unixUs) {
        if (!numbers.markSeen(number, unixUs)) {
            return false;
        }
        firstUs = Math.min(firstUs, unixUs);
        lastUs = Math.max(lastUs, unixUs);
        return true;
    }

    void proxyStarted(long unixUs, Event.ProxyStarted event) {
        started = event;
        startedUs = unixUs;
    }

    void proxyStopped() {
        stopped = true;
    }

    void eventsLost(Event.EventsLost event) {
        lostEvents += event.events();
    }

    void heartbeat(long unixUs, Event.Heartbeat event) {
        heartbeats.put(UnixTime.second(unixUs), event);
    }

    void endpointEjected(long unixUs, Event.EndpointEjected event) {
        health.computeIfAbsent(event.server(), key -> new HealthChanges()).ejected(unixUs);
    }

    void endpointRecovered(long unixUs, Event.EndpointRecovered event) {
        health.computeIfAbsent(event.server(), key -> new HealthChanges()).recovered(unixUs);
    }

    long id() {
        return id;
    }

    /** The start's event; null where it is missing. */
    Event.ProxyStarted started() {
        return started;
    }

    boolean stopped() {
        return stopped;
    }

    Map<Long, Event.Heartbeat> heartbeats() {
        return heartbeats;
    }

    RequestLog requests() {
        return requests;
    }

    AttemptLog attempts() {
        return attempts;
    }

    EndpointNotifications endpointNotifications() {
        return endpointNotifications;
    }

    PurgeNotifications purgeNotifications() {
        return purgeNotifications;
    }

    /** When an endpoint was ejected and taken back. */
    HealthChanges health(String endpoint) {
        return health.getOrDefault(endpoint, new HealthChanges());
    }

    /**
     * Whose incarnation it is.
     *
     * @return the proxy's name
     */
    public String proxy() {
        return proxy;
    }

    /**
     * The zone that the proxy belongs to.
     *
     * @return its name; "unknown" where the start is missing
     */
    public String zone() {
        return started == null ? "unknown" : started.zone();
    }

    /**
     * Missing entry numbers.
     *
     * @return in order; what may be missing behind the last entry is not known
     */
    public List<Gap> gaps() {
        return numbers.gaps();
    }

    /**
     * How many entries are missing.
     *
     * @return the sum over the gaps
     */
    public long missingEntries() {
        return gaps().stream().mapToLong(Gap::size).sum();
    }

    /**
     * How it ended, as far as is known.
     *
     * @return finished, or no last record: killed, cut off or still running
     */
    public String end() {
        return stopped ? "finished" : "no last record";
    }

    /**
     * When it started.
     *
     * @return Unix microseconds; null where the start is missing
     */
    public Long startedUs() {
        return started == null ? null : startedUs;
    }

    /**
     * Its first record.
     *
     * @return Unix microseconds
     */
    public long firstUs() {
        return firstUs;
    }

    /**
     * Its last record.
     *
     * @return Unix microseconds
     */
    public long lastUs() {
        return lastUs;
    }

    /**
     * Events that its writer said it lost.
     *
     * @return how many
     */
    public long lostEvents() {
        return lostEvents;
    }
}
