package petrelplank.emulator;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import petrelplank.routing.AttemptStatus;

/** Counts the attempts at one server and their ends for {@link GroundTruth.Attempts}. */
final class AttemptCounters {
    private static final int SIGNIFICANT_DIGITS = 3;

    private long sent;
    private long aborted;
    private final Map<AttemptStatus, Long> ends = new EnumMap<>(AttemptStatus.class);
    private final Histogram responseTimesUs = new Histogram(SIGNIFICANT_DIGITS);

    void sent() {
        sent++;
    }

    void aborted() {
        aborted++;
    }

    void ended(AttemptStatus status, long responseTimeUs) {
        ends.merge(status, 1L, Long::sum);
        responseTimesUs.recordValue(responseTimeUs);
    }

    private long count(AttemptStatus status) {
        return ends.getOrDefault(status, 0L);
    }

    private double percentileMs(double percentile) {
        return responseTimesUs.getValueAtPercentile(percentile) / 1000.0;
    }

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
