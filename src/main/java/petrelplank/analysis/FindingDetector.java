package petrelplank.analysis;

import java.util.List;

/** Looks for one kind of fault. What a healthy day shows now and then must stay under its thresholds. */
interface FindingDetector {
    /**
     * Looks for the fault.
     *
     * @param timeline the figures
     * @return findings whose cost is not known yet
     */
    List<Finding> detect(IncidentTimeline timeline);
}
