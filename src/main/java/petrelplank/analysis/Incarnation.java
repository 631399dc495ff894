package petrelplank.analysis;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import petrelplank.record.Event;
import petrelplank.record.StoredNames;
import petrelplank.routing.AttemptStatus;

/** One incarnation of a proxy, from its start to its end: what its entries say, each counted once. */
public final class Incarnation {
    /** Fields of a load report that are kept; those behind them are not. */
    private static final int LOAD_FIELDS = 4;

    private static final double MICRO = 1e6;

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
    /** By second and class. */
    private final Map<Long, Map<String, RequestTotals>> totals = new TreeMap<>();

    private final Map<Long, Event.Heartbeat> heartbeats = new TreeMap<>();
    /** By second, the most that load reports said of each field, in millionths. */
    private final Map<Long, long[]> peakLoadMicro = new TreeMap<>();
    /** By request, how often it was admitted less how often it was completed; balanced ones are not kept. */
    private final Map<Long, Integer> responseBalance = new HashMap<>();

    private final EndpointNotifications notifications = new EndpointNotifications();
    private final Map<Long, Event.Purged> purges = new TreeMap<>();
    private final Map<Long, Long> purgeNotifiedUs = new TreeMap<>();
    /** Times of attempts at an endpoint, or with it as the source. */
    private final Map<String, LongTable> sends = new TreeMap<>();
    /** Rows of {@link ServedCopy}. */
    private final LongTable copies = new LongTable(ServedCopy.COLUMNS);

    private final Map<String, HealthChanges> health = new TreeMap<>();
    private final Map<String, Long> rejectedBeforeRouting = new TreeMap<>();
    private final Map<String, Long> terminationReasons = new TreeMap<>();

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

    private RequestTotals totalsAt(long unixUs, String type) {
        return totals.computeIfAbsent(UnixTime.second(unixUs), second -> new HashMap<>())
                .computeIfAbsent(type, name -> new RequestTotals());
    }

    private void changeBalance(long request, int change) {
        int balance = responseBalance.merge(request, change, Integer::sum);
        if (balance == 0) {
            responseBalance.remove(request);
        }
    }

    // ---- Events ----

    void proxyStarted(long unixUs, Event.ProxyStarted event) {
        started = event;
        startedUs = unixUs;
    }

    void proxyStopped(long unixUs, Event.ProxyStopped event) {
        stopped = true;
    }

    void eventsLost(long unixUs, Event.EventsLost event) {
        lostEvents += event.events();
    }

    void heartbeat(long unixUs, Event.Heartbeat event) {
        heartbeats.put(UnixTime.second(unixUs), event);
    }

    void requestAdmitted(long unixUs, Event.RequestAdmitted event) {
        totalsAt(unixUs, event.type()).addRequest();
        changeBalance(event.request(), 1);
    }

    void requestCompleted(long unixUs, Event.RequestCompleted event) {
        totalsAt(unixUs, event.type()).addResponse(event);
        changeBalance(event.request(), -1);
        if (event.why() != null) {
            terminationReasons.merge(StoredNames.of(event.why()), 1L, Long::sum);
        }
    }

    void clientDisconnected(long unixUs, Event.ClientDisconnected event) {
        changeBalance(event.request(), -1);
    }

    void requestRejected(long unixUs, Event.RequestRejected event) {
        rejectedBeforeRouting.merge(StoredNames.of(event.kind()), 1L, Long::sum);
    }

    void attemptSent(long unixUs, Event.AttemptSent event) {
        noteSend(event.server(), unixUs);
        if (event.source() != null && !event.source().equals(event.server())) {
            noteSend(event.source(), unixUs);
        }
    }

    private void noteSend(String endpoint, long unixUs) {
        sends.computeIfAbsent(endpoint, key -> new LongTable(1)).add(unixUs);
    }

    void attemptEnded(long unixUs, Event.AttemptEnded event) {
        noteLoad(unixUs, event.load());
        if (event.status() == AttemptStatus.OK && event.bornMs() > 0) {
            long sentUs = unixUs - event.latencyUs();
            new ServedCopy(event.object(), event.group(), sentUs, event.bornMs(), unixUs, event.bytes()).addTo(copies);
        }
    }

    private void noteLoad(long unixUs, List<Double> load) {
        if (load.isEmpty()) {
            return;
        }
        long[] peak = peakLoadMicro.computeIfAbsent(UnixTime.second(unixUs), second -> new long[LOAD_FIELDS]);
        for (int field = 0; field < Math.min(LOAD_FIELDS, load.size()); field++) {
            peak[field] = Math.max(peak[field], Math.round(load.get(field) * MICRO));
        }
    }

    void endpointsChanged(long unixUs, Event.EndpointsChanged event) {
        notifications.add(event, unixUs);
    }

    void purged(long unixUs, Event.Purged event) {
        purges.put(event.index(), event);
        purgeNotifiedUs.merge(event.index(), unixUs, Math::min);
    }

    void endpointEjected(long unixUs, Event.EndpointEjected event) {
        health.computeIfAbsent(event.server(), key -> new HealthChanges()).ejected(unixUs);
    }

    void endpointRecovered(long unixUs, Event.EndpointRecovered event) {
        health.computeIfAbsent(event.server(), key -> new HealthChanges()).recovered(unixUs);
    }

    // ---- What is known ----

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

    Map<Long, Map<String, RequestTotals>> totals() {
        return totals;
    }

    Map<Long, Event.Heartbeat> heartbeats() {
        return heartbeats;
    }

    Map<Long, long[]> peakLoadMicro() {
        return peakLoadMicro;
    }

    Map<Long, Integer> responseBalance() {
        return responseBalance;
    }

    EndpointNotifications notifications() {
        return notifications;
    }

    Map<Long, Event.Purged> purges() {
        return purges;
    }

    Map<Long, Long> purgeNotifiedUs() {
        return purgeNotifiedUs;
    }

    /** Times of attempts at an endpoint or by way of it. */
    LongTable sends(String endpoint) {
        return sends.getOrDefault(endpoint, new LongTable(1));
    }

    /** Visits the copies served, in no particular order. */
    void forEachCopy(Consumer<ServedCopy> action) {
        copies.forEachRow(row -> action.accept(ServedCopy.ofRow(row)));
    }

    /** When an endpoint was ejected and taken back. */
    HealthChanges health(String endpoint) {
        return health.getOrDefault(endpoint, new HealthChanges());
    }

    Map<String, Long> rejectedBeforeRouting() {
        return rejectedBeforeRouting;
    }

    Map<String, Long> terminationReasons() {
        return terminationReasons;
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
