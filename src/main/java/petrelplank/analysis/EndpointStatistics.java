package petrelplank.analysis;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import petrelplank.analysis.Observation.Outcome;
import petrelplank.record.Event;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;

/** What all proxies together saw of one endpoint. */
public final class EndpointStatistics {
    /** An attempt abandoned sooner than this says nothing of the endpoint. */
    private static final long MIN_UNANSWERED_US = 150_000;

    private static final int HISTOGRAM_DIGITS = 3;
    private static final double MILLISECOND_US = 1000.0;

    private long sent;
    private long abandoned;
    private long fills;
    private long failedFills;
    private final Map<AttemptStatus, Long> countByStatus = new EnumMap<>(AttemptStatus.class);
    private final Histogram responseTimeUs = new Histogram(HISTOGRAM_DIGITS);
    /** Rows of {@link Observation}: as the endpoint asked and as the source of a fill. */
    private final LongTable observations = new LongTable(3);
    /** Rows of {@link OriginCall}: calls of the origin that its responses reported. */
    private final LongTable reportedOriginCalls = new LongTable(3);
    /** Rows of {@link OriginCall}: its own responses, for the case that it is the origin. */
    private final LongTable responses = new LongTable(3);

    private final Map<Long, AttemptCounts> countsBySecond = new TreeMap<>();

    EndpointStatistics() {}

    private AttemptCounts countsAt(long unixUs) {
        return countsBySecond.computeIfAbsent(UnixTime.second(unixUs), second -> new AttemptCounts());
    }

    void attemptSent(long unixUs) {
        sent++;
        countsAt(unixUs).addSent();
    }

    void attemptEnded(Event.AttemptEnded event, long unixUs) {
        if (event.status() == AttemptStatus.TIMEOUT || event.status() == AttemptStatus.CANCELLED) {
            attemptAbandoned(event, unixUs);
            return;
        }
        boolean succeeded = event.status() == AttemptStatus.OK;
        long sentUs = unixUs - event.latencyUs();
        countByStatus.merge(event.status(), 1L, Long::sum);
        responseTimeUs.recordValue(Math.max(0, event.latencyUs()));
        countsAt(unixUs).addResponse(succeeded);
        OriginCall.addTo(responses, sentUs, unixUs, succeeded);
        Observation.addTo(observations, sentUs, unixUs, outcome(event.status()));
        if (event.cacheStatus() == CacheStatus.FILLED_FROM_ORIGIN || event.cacheStatus() == CacheStatus.ORIGIN_FAILED) {
            OriginCall.addTo(reportedOriginCalls, unixUs - Math.max(0, event.sourceWaitUs()), unixUs, succeeded);
        }
    }

    private void attemptAbandoned(Event.AttemptEnded event, long unixUs) {
        abandoned++;
        if (event.latencyUs() > MIN_UNANSWERED_US) {
            Observation.addTo(observations, unixUs - event.latencyUs(), unixUs, Outcome.UNANSWERED);
        }
    }

    private static Outcome outcome(AttemptStatus status) {
        return switch (status) {
            case CONNECT_FAILED, RESET -> Outcome.UNANSWERED;
            case ERROR -> Outcome.ERROR;
            default -> Outcome.ANSWERED;
        };
    }

    /** The endpoint was the source of a fill, and the response of the filled endpoint tells how that went. */
    void fillEnded(Event.AttemptEnded event, long unixUs) {
        switch (event.cacheStatus()) {
            case FILLED, FILLED_FROM_ORIGIN -> fills++;
            case SOURCE_UNREACHABLE, SOURCE_REJECTED -> failedFills++;
            default -> {}
        }
        switch (event.cacheStatus()) {
            case FILLED, FILLED_FROM_ORIGIN, SOURCE_MISS, ORIGIN_FAILED, SOURCE_REJECTED ->
                Observation.addTo(observations, unixUs - event.latencyUs(), unixUs, Outcome.ANSWERED);
            case SOURCE_UNREACHABLE ->
                Observation.addTo(observations, unixUs - Math.max(event.sourceWaitUs(), 0), unixUs, Outcome.UNANSWERED);
            default -> {}
        }
    }

    /** All observations, by the time of asking. */
    List<Observation> observations() {
        return observations.sorted().stream().map(Observation::ofRow).toList();
    }

    /** Calls of the origin that this endpoint's responses reported, by start. */
    List<OriginCall> reportedOriginCalls() {
        return reportedOriginCalls.sorted().stream().map(OriginCall::ofRow).toList();
    }

    /** The endpoint's own responses as calls of the origin, by start. */
    List<OriginCall> responsesAsOriginCalls() {
        return responses.sorted().stream().map(OriginCall::ofRow).toList();
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
     * Misses of other endpoints that were filled by way of this one.
     *
     * @return the count
     */
    public long fills() {
        return fills;
    }

    /**
     * Fills by way of this endpoint that failed, since it rejected them or did not answer.
     *
     * @return the count
     */
    public long failedFills() {
        return failedFills;
    }

    /**
     * Attempts that ended in a way.
     *
     * @param status how
     * @return the count
     */
    public long ended(AttemptStatus status) {
        return countByStatus.getOrDefault(status, 0L);
    }

    /**
     * Attempts that the proxy timed out or cancelled.
     *
     * @return the count
     */
    public long abandoned() {
        return abandoned;
    }

    /**
     * A percentile of the response time.
     *
     * @param percentile from 0 to 100
     * @return milliseconds, to three digits
     */
    public double responseTimeMs(double percentile) {
        return responseTimeUs.getValueAtPercentile(percentile) / MILLISECOND_US;
    }

    /**
     * Attempts by Unix second.
     *
     * @return in order of time
     */
    public Map<Long, AttemptCounts> countsBySecond() {
        return countsBySecond;
    }
}
