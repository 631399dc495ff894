package petrelplank.analysis;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Finds times in which calls of the origin took a multiple of their usual time. */
final class SlowOriginDetector implements FindingDetector {
    /** Slow begins at this multiple of the usual time. */
    private static final double SLOW_FACTOR = 2.5;
    /** Once slow, the origin is slow still at this multiple. */
    private static final double STILL_SLOW_FACTOR = 1.6;

    private static final int MIN_SLOW_SECONDS = 3;
    /** So many seconds in a row below {@link #STILL_SLOW_FACTOR} end a slow time. */
    private static final int FAST_SECONDS_TO_END = 2;
    /** Seconds with fewer calls tell nothing. */
    private static final int MIN_CALLS_PER_SECOND = 3;

    private static final double MILLISECOND_US = 1e3;

    @Override
    public List<Finding> detect(IncidentTimeline timeline) {
        List<OriginCall> calls = timeline.originCalls().byStart().stream()
                .filter(OriginCall::succeeded)
                .toList();
        Map<Long, Long> medianBySecond = medianUsBySecond(calls);
        if (medianBySecond.size() < MIN_SLOW_SECONDS) {
            return List.of();
        }
        long usualUs = Quantiles.quantile(
                medianBySecond.values().stream().mapToLong(median -> median), Quantiles.LOWER_QUARTILE);
        return slowRanges(medianBySecond, usualUs).stream()
                .map(range -> finding(timeline.originCalls().origins(), calls, medianBySecond, usualUs, range))
                .toList();
    }

    private static Map<Long, Long> medianUsBySecond(List<OriginCall> calls) {
        Map<Long, List<OriginCall>> callsBySecond = calls.stream()
                .collect(Collectors.groupingBy(
                        call -> UnixTime.second(call.startedUs()), TreeMap::new, Collectors.toList()));
        Map<Long, Long> medians = new TreeMap<>();
        callsBySecond.forEach((second, ofSecond) -> {
            if (ofSecond.size() >= MIN_CALLS_PER_SECOND) {
                medians.put(second, medianUs(ofSecond));
            }
        });
        return medians;
    }

    private static long medianUs(List<OriginCall> calls) {
        return Quantiles.quantile(calls.stream().mapToLong(OriginCall::durationUs), Quantiles.MEDIAN);
    }

    /**
     * Slow seconds that belong together. Where proxies spare the origin it is slow without a queue, hardly above what
     * begins a range: less keeps one going, seconds with too few calls don't end it, two fast ones in a row do.
     */
    private static List<SecondRange> slowRanges(Map<Long, Long> medianBySecond, long usualUs) {
        long slowUs = (long) (SLOW_FACTOR * usualUs);
        long stillSlowUs = (long) (STILL_SLOW_FACTOR * usualUs);
        List<SecondRange> ranges = new ArrayList<>();
        SecondRange current = null;
        int fastSeconds = 0;
        for (Map.Entry<Long, Long> entry : medianBySecond.entrySet()) {
            long second = entry.getKey();
            if (entry.getValue() <= (current == null ? slowUs : stillSlowUs)) {
                fastSeconds++;
                current = fastSeconds >= FAST_SECONDS_TO_END ? null : current;
                continue;
            }
            fastSeconds = 0;
            if (current == null) {
                current = new SecondRange(second, second);
                ranges.add(current);
            } else {
                current = new SecondRange(current.first(), second);
                ranges.set(ranges.size() - 1, current);
            }
        }
        ranges.removeIf(range -> range.length() < MIN_SLOW_SECONDS);
        return ranges;
    }

    private static Finding finding(
            List<String> origins,
            List<OriginCall> calls,
            Map<Long, Long> medianBySecond,
            long usualUs,
            SecondRange range) {
        List<OriginCall> slowCalls = calls.stream()
                .filter(call -> call.durationUs() > SLOW_FACTOR * usualUs
                        && call.startedUs() >= (range.first() - 1) * UnixTime.SECOND_US
                        && call.startedUs() < (range.last() + 1) * UnixTime.SECOND_US)
                .toList();
        long slowestMedianUs = medianBySecond.entrySet().stream()
                .filter(entry -> range.contains(entry.getKey()))
                .mapToLong(Map.Entry::getValue)
                .max()
                .orElse(0);
        return Finding.exact(
                Finding.Kind.SLOW_STOCK,
                origins,
                slowCalls.get(0).startedUs(),
                slowCalls.get(slowCalls.size() - 1).startedUs(),
                String.format(
                        "calls took %.0f ms in the middle, up to %.0f ms in a second; usually %.0f ms",
                        medianUs(slowCalls) / MILLISECOND_US,
                        slowestMedianUs / MILLISECOND_US,
                        usualUs / MILLISECOND_US));
    }
}
