package petrelplank.analysis;

import java.util.Comparator;
import java.util.List;

/** Names the faults that the figures show, with the evidence. Each kind is looked for by a detector of its own. */
public final class Diagnosis {
    private static final List<FindingDetector> DETECTORS = List.of(
            new SilentEndpointDetector(),
            new FastFailureDetector(),
            new PurgeDetector(),
            new HotObjectDetector(),
            new SlowOriginDetector(),
            new OriginOutageDetector(),
            new RestartDetector(),
            new CrowdedLinkDetector());

    private static final Comparator<Finding> BY_TIME = Comparator.comparingLong(Finding::fromUs)
            .thenComparing(Finding::kind)
            .thenComparing(finding -> finding.servers().toString());

    private Diagnosis() {}

    /**
     * Looks for faults.
     *
     * @param timeline the figures
     * @return findings, by time
     */
    public static List<Finding> of(IncidentTimeline timeline) {
        List<Finding> findings = DETECTORS.stream()
                .flatMap(detector -> detector.detect(timeline).stream())
                .sorted(BY_TIME)
                .toList();
        FindingCosts costs = new FindingCosts(timeline, findings);
        return findings.stream().map(costs::withCost).toList();
    }
}
