package petrelplank.analysis;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import petrelplank.record.Event;
import petrelplank.record.StoredNames;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;

/** What all fronts together saw of one server. */
public final class EndpointStatistics {
    /** It answered, whatever it said. */
    static final int ALIVE = 0;
    /** It was asked and did not answer. */
    static final int UNANSWERED = 1;
    /** It answered with an error. */
    static final int ERROR = 2;

    private static final long SHORT_US = 150_000;

    final String id;
    long sent;
    long withdrawn;
    private long fills;
    private long fillsFailed;
    final Map<AttemptStatus, Long> ends = new EnumMap<>(AttemptStatus.class);
    final Histogram answeredUs = new Histogram(3);
    /** When asked, when known, kind: as a server and as a source. */
    final LongTable seen = new LongTable(3);
    /** When called, when known, 1 for well: calls of the central stock that its answers told of. */
    final LongTable calls = new LongTable(3);
    /** When asked, when answered, 1 for well: answers as a server. */
    final LongTable answers = new LongTable(3);
    /** Attempts sent and answers by second. */
    final Map<Long, long[]> seconds = new TreeMap<>();

    EndpointStatistics(String id) {
        this.id = id;
    }

    private long[] second(long unixUs) {
        return seconds.computeIfAbsent(unixUs / 1_000_000, s -> new long[3]);
    }

    void sent(long unixUs) {
        sent++;
        second(unixUs)[0]++;
    }

    void ended(Event.AttemptEnded e, long unixUs) {
        long from = unixUs - e.latencyUs();
        boolean given = e.status() == AttemptStatus.TIMEOUT || e.status() == AttemptStatus.CANCELLED;
        if (given) {
            withdrawn++;
            if (e.latencyUs() > SHORT_US) {
                seen.add(from, unixUs, UNANSWERED);
            }
            return;
        }
        ends.merge(e.status(), 1L, Long::sum);
        answeredUs.recordValue(Math.max(0, e.latencyUs()));
        second(unixUs)[e.status() == AttemptStatus.OK ? 1 : 2]++;
        answers.add(from, unixUs, e.status() == AttemptStatus.OK ? 1 : 0);
        boolean away = e.status() == AttemptStatus.CONNECT_FAILED || e.status() == AttemptStatus.RESET;
        seen.add(from, unixUs, away ? UNANSWERED : e.status() == AttemptStatus.ERROR ? ERROR : ALIVE);
        if (e.cacheStatus() == CacheStatus.FILLED_FROM_ORIGIN || e.cacheStatus() == CacheStatus.ORIGIN_FAILED) {
            calls.add(unixUs - Math.max(0, e.sourceWaitUs()), unixUs, e.status() == AttemptStatus.OK ? 1 : 0);
        }
    }

    /** It was the source of a fill, of which the answer tells something. */
    void filled(Event.AttemptEnded e, long unixUs) {
        fills += e.cacheStatus() == CacheStatus.FILLED || e.cacheStatus() == CacheStatus.FILLED_FROM_ORIGIN ? 1 : 0;
        fillsFailed +=
                e.cacheStatus() == CacheStatus.SOURCE_UNREACHABLE || e.cacheStatus() == CacheStatus.SOURCE_REJECTED
                        ? 1
                        : 0;
        switch (e.cacheStatus()) {
            case FILLED, FILLED_FROM_ORIGIN, SOURCE_MISS, ORIGIN_FAILED, SOURCE_REJECTED ->
                seen.add(unixUs - e.latencyUs(), unixUs, ALIVE);
            case SOURCE_UNREACHABLE -> seen.add(unixUs - Math.max(e.sourceWaitUs(), 0), unixUs, UNANSWERED);
            default -> {}
        }
    }

    /**
     * Attempts sent.
     *
     * @return the count
     */
    public long sent() {
        return sent;
    }

    /**
     * Misses of other servers that were filled by way of it.
     *
     * @return the count
     */
    public long fills() {
        return fills;
    }

    /**
     * Fills by way of it that failed, since it refused or did not answer.
     *
     * @return the count
     */
    public long fillsFailed() {
        return fillsFailed;
    }

    /**
     * Attempts that ended in a way.
     *
     * @param status how
     * @return the count
     */
    public long ended(AttemptStatus status) {
        return ends.getOrDefault(status, 0L);
    }

    /**
     * Attempts that the front gave up.
     *
     * @return the count
     */
    public long withdrawn() {
        return withdrawn;
    }

    /**
     * How long answers took.
     *
     * @param percentile from 0 to 100
     * @return milliseconds, to three digits
     */
    public double answeredMs(double percentile) {
        return answeredUs.getValueAtPercentile(percentile) / 1000.0;
    }

    /**
     * Sent, answered well and answered otherwise, by Unix second.
     *
     * @return in order
     */
    public Map<Long, long[]> seconds() {
        return seconds;
    }

    Map<String, Object> tree() {
        Map<String, Object> t = new LinkedHashMap<>();
        t.put("sent", sent);
        t.put("withdrawn", withdrawn);
        for (AttemptStatus s : new AttemptStatus[] {
            AttemptStatus.OK,
            AttemptStatus.ERROR,
            AttemptStatus.REJECTED,
            AttemptStatus.MISS,
            AttemptStatus.RESET,
            AttemptStatus.CONNECT_FAILED
        }) {
            t.put(StoredNames.jsonKey(StoredNames.of(s)), ended(s));
        }
        t.put("p50Ms", answeredMs(50));
        t.put("p99Ms", answeredMs(99));
        return t;
    }
}
