package petrelplank.emulator;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import petrelplank.routing.AttemptStatus;

/** Counts the attempts sent to one server and their outcomes for {@link GroundTruth.Attempts}. */
final class AttemptCounters {
    private static final int SIGNIFICANT_DIGITS = 3;

    private long sent;
    private long aborted;
    private final Map<AttemptStatus, Long> endsByStatus = new EnumMap<>(AttemptStatus.class);
    private final Histogram responseTimesUs = new Histogram(SIGNIFICANT_DIGITS);

    /** Counts an attempt that was sent. */
    void sent() {
        sent++;
    }

    /** Counts an attempt that its proxy aborted. */
    void aborted() {
        aborted++;
    }

    /** Counts the outcome of an attempt and records its response time. */
    void ended(AttemptStatus status, long responseTimeUs) {
        endsByStatus.merge(status, 1L, Long::sum);
        responseTimesUs.recordValue(responseTimeUs);
    }

    private long count(AttemptStatus status) {
        return endsByStatus.getOrDefault(status, 0L);
    }

    private double percentileMs(double percentile) {
        return responseTimesUs.getValueAtPercentile(percentile) / 1000.0;
    }

    /** Returns the counts so far. */
    GroundTruth.Attempts totals() {
        return new GroundTruth.Attempts(
                sent,
                aborted,
                count(AttemptStatus.OK),
                count(AttemptStatus.ERROR),
                count(AttemptStatus.REJECTED),
                count(AttemptStatus.MISS),
                count(AttemptStatus.RESET),
                count(AttemptStatus.CONNECT_FAILED),
                percentileMs(50),
                percentileMs(99));
    }
}
