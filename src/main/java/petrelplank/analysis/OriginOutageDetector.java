package petrelplank.analysis;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Finds times in which every call of the origin failed. */
final class OriginOutageDetector implements FindingDetector {
    private static final int MIN_FAILED_CALLS = 5;
    private static final long MIN_OUTAGE_US = UnixTime.SECOND_US;
    /** A call that failed after so many times the usual had waited, and was broken off. */
    private static final int BROKEN_OFF_FACTOR = 4;

    private static final long MIN_BROKEN_OFF_US = 200_000;

    private static final Comparator<OriginCall> BY_END =
            Comparator.comparingLong(OriginCall::endedUs).thenComparingLong(OriginCall::startedUs);

    @Override
    public List<Finding> detect(IncidentTimeline timeline) {
        List<OriginCall> calls =
                timeline.originCalls().byStart().stream().sorted(BY_END).toList();
        List<Finding> findings = new ArrayList<>();
        List<OriginCall> failed = new ArrayList<>();
        for (OriginCall call : calls) {
            if (!call.succeeded()) {
                failed.add(call);
            } else {
                outage(timeline, failed, Optional.of(call)).ifPresent(findings::add);
                failed.clear();
            }
        }
        outage(timeline, failed, Optional.empty()).ifPresent(findings::add);
        return findings;
    }

    private static Optional<Finding> outage(
            IncidentTimeline timeline, List<OriginCall> failed, Optional<OriginCall> nextSuccess) {
        if (failed.size() < MIN_FAILED_CALLS) {
            return Optional.empty();
        }
        OriginCall last = failed.get(failed.size() - 1);
        long fromUs = stoppedAtUs(failed);
        long toUs = nextSuccess
                .map(success -> (Math.max(fromUs, last.startedUs()) + Math.max(fromUs, success.startedUs())) / 2)
                .orElse(last.endedUs());
        if (toUs - fromUs < MIN_OUTAGE_US) {
            return Optional.empty();
        }
        return Optional.of(Finding.withSlack(
                Finding.Kind.STOCK_STOPPED,
                timeline.originCalls().origins(),
                fromUs,
                toUs,
                nextSuccess.isPresent() ? Math.max(0, toUs - last.startedUs()) : 0,
                failed.size() + " calls in a row failed",
                nextSuccess
                        .map(success -> "the last of them was made at " + UnixTime.timeOfDay(last.startedUs())
                                + ", the next that went well at " + UnixTime.timeOfDay(success.startedUs()))
                        .orElse("none went well since")));
    }

    /**
     * When the origin stopped, of calls that failed in a row: while it is only overloaded, calls are rejected at once;
     * where some that had waited were broken off, that is the moment, else the first failure.
     */
    private static long stoppedAtUs(List<OriginCall> failed) {
        long medianUs = Quantiles.quantile(failed.stream().mapToLong(OriginCall::durationUs), Quantiles.MEDIAN);
        return failed.stream()
                .filter(call ->
                        call.durationUs() > BROKEN_OFF_FACTOR * medianUs && call.durationUs() > MIN_BROKEN_OFF_US)
                .mapToLong(OriginCall::endedUs)
                .findFirst()
                .orElse(failed.get(0).endedUs());
    }
}
