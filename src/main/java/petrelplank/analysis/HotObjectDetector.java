package petrelplank.analysis;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/** Finds objects that drew a large part of the bytes for some seconds. */
final class HotObjectDetector implements FindingDetector {
    /** The share of a second's bytes that makes an object hot. */
    private static final double MIN_SHARE_OF_SECOND = 0.2;

    private static final int MIN_SECONDS = 3;
    /** Objects with less of all bytes are not looked at. */
    private static final double MIN_SHARE_OF_ALL = 0.01;

    @Override
    public List<Finding> detect(IncidentTimeline timeline) {
        Map<Long, Long> bytesByObject = new HashMap<>();
        Map<Long, Long> bytesBySecond = new TreeMap<>();
        forEachCopy(timeline, copy -> {
            bytesByObject.merge(copy.object(), copy.bytes(), Long::sum);
            bytesBySecond.merge(copy.endedSecond(), copy.bytes(), Long::sum);
        });
        long allBytes =
                bytesByObject.values().stream().mapToLong(bytes -> bytes).sum();
        List<Finding> findings = new ArrayList<>();
        bytesByObject.entrySet().stream()
                .filter(entry -> entry.getValue() > MIN_SHARE_OF_ALL * allBytes)
                .map(Map.Entry::getKey)
                .sorted()
                .forEach(object -> findings.addAll(hotTimes(timeline, object, bytesBySecond)));
        return findings;
    }

    private static void forEachCopy(IncidentTimeline timeline, Consumer<ServedCopy> action) {
        timeline.incarnations().forEach(incarnation -> incarnation.attempts().forEachCopy(action));
    }

    private static List<Finding> hotTimes(IncidentTimeline timeline, long object, Map<Long, Long> bytesBySecond) {
        Map<Long, Long> ownBytesBySecond = new TreeMap<>();
        TreeSet<Long> sentTimesUs = new TreeSet<>();
        forEachCopy(timeline, copy -> {
            if (copy.object() == object) {
                ownBytesBySecond.merge(copy.endedSecond(), copy.bytes(), Long::sum);
                sentTimesUs.add(copy.sentUs());
            }
        });
        List<Long> hotSeconds = bytesBySecond.keySet().stream()
                .filter(second ->
                        ownBytesBySecond.getOrDefault(second, 0L) >= MIN_SHARE_OF_SECOND * bytesBySecond.get(second))
                .toList();
        List<Finding> findings = new ArrayList<>();
        for (SecondRange range : SecondRange.ranges(hotSeconds, MIN_SECONDS)) {
            double percent = 100.0 * range.sum(ownBytesBySecond) / range.sum(bytesBySecond);
            findings.add(Finding.exact(
                    Finding.Kind.HOT_OBJECT,
                    List.of(),
                    sentTimesUs.ceiling((range.first() - 1) * UnixTime.SECOND_US),
                    sentTimesUs.floor((range.last() + 2) * UnixTime.SECOND_US),
                    String.format("object %016x drew %d%% of the bytes", object, Math.round(percent))));
        }
        return findings;
    }
}
