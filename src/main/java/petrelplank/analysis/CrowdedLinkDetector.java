package petrelplank.analysis;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Finds zones whose link had far more transfers than fit, by the load that caches reported. */
final class CrowdedLinkDetector implements FindingDetector {
    /** The field of a load report that tells of the link: transfers as a multiple of those that fit. */
    private static final String LINK_FIELD = "x1";

    private static final double MICRO = 1e6;
    private static final double MIN_LOAD = 1.5;
    private static final double MIN_USUAL_FACTOR = 4;
    private static final int MIN_SECONDS = 3;

    @Override
    public List<Finding> detect(IncidentTimeline timeline) {
        List<Finding> findings = new ArrayList<>();
        loadMicroByZone(timeline).forEach((zone, loadMicro) -> findings.addAll(crowdedTimes(zone, loadMicro)));
        return findings;
    }

    /** The most that was reported of a zone's link in each second. */
    private static Map<String, Map<Long, Long>> loadMicroByZone(IncidentTimeline timeline) {
        Map<String, Map<Long, Long>> loadByZone = new TreeMap<>();
        for (Incarnation incarnation : timeline.incarnations()) {
            int field = incarnation.started() == null
                    ? -1
                    : incarnation.started().reportFields().indexOf(LINK_FIELD);
            if (field < 0) {
                continue;
            }
            incarnation.attempts().peakLoadMicro().forEach((second, peak) -> {
                if (field < peak.length) {
                    loadByZone
                            .computeIfAbsent(incarnation.zone(), zone -> new TreeMap<>())
                            .merge(second, peak[field], Math::max);
                }
            });
        }
        return loadByZone;
    }

    private static List<Finding> crowdedTimes(String zone, Map<Long, Long> loadMicro) {
        long usualMicro =
                Quantiles.quantile(loadMicro.values().stream().mapToLong(load -> load), Quantiles.LOWER_QUARTILE);
        List<Long> crowdedSeconds = loadMicro.entrySet().stream()
                .filter(entry ->
                        entry.getValue() > MIN_LOAD * MICRO && entry.getValue() > MIN_USUAL_FACTOR * usualMicro)
                .map(Map.Entry::getKey)
                .toList();
        List<Finding> findings = new ArrayList<>();
        for (SecondRange range : SecondRange.ranges(crowdedSeconds, MIN_SECONDS)) {
            long peakMicro = loadMicro.entrySet().stream()
                    .filter(entry -> range.contains(entry.getKey()))
                    .mapToLong(Map.Entry::getValue)
                    .max()
                    .orElse(0);
            findings.add(Finding.exact(
                    Finding.Kind.CROWDED_LINK,
                    List.of(zone),
                    range.first() * UnixTime.SECOND_US,
                    (range.last() + 1) * UnixTime.SECOND_US,
                    String.format(
                            "up to %.1f times the transfers that fit; usually %.2f",
                            peakMicro / MICRO, usualMicro / MICRO)));
        }
        return findings;
    }
}
