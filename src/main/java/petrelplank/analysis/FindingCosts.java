package petrelplank.analysis;

import java.util.List;
import java.util.Map;

/** Works out what findings cost: the priority weight lost meanwhile, over the share that is lost without a fault. */
final class FindingCosts {
    private final Map<Long, RequestTotals> requestsBySecond;
    private final double usualLossShare;

    FindingCosts(IncidentTimeline timeline, List<Finding> findings) {
        this.requestsBySecond = timeline.requestsBySecond();
        this.usualLossShare = usualLossShare(findings);
    }

    private double usualLossShare(List<Finding> findings) {
        long askedMicro = 0;
        long lostMicro = 0;
        for (Map.Entry<Long, RequestTotals> entry : requestsBySecond.entrySet()) {
            long second = entry.getKey();
            if (findings.stream().noneMatch(finding -> isNear(finding, second))) {
                askedMicro += entry.getValue().askedMicro();
                lostMicro += entry.getValue().lostMicro();
            }
        }
        return askedMicro == 0 ? 0 : Math.max(0, (double) lostMicro / askedMicro);
    }

    private static boolean isNear(Finding finding, long second) {
        return second >= UnixTime.second(finding.fromUs()) - 1 && second <= UnixTime.second(finding.toUs()) + 2;
    }

    /** The finding with its cost, to tenths. */
    Finding withCost(Finding finding) {
        double cost = 0;
        for (Map.Entry<Long, RequestTotals> entry : requestsBySecond.entrySet()) {
            long second = entry.getKey();
            if (second >= UnixTime.second(finding.fromUs()) && second <= UnixTime.second(finding.toUs()) + 1) {
                RequestTotals totals = entry.getValue();
                cost += totals.worthAsked() * (1 - usualLossShare) - totals.worthEarned();
            }
        }
        return finding.withWorth(Math.max(0, Math.round(cost * 10) / 10.0));
    }
}
