package petrelplank.analysis;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import petrelplank.emulator.GroundTruth.FaultPeriod;

/** Compares the findings of the analysis with the faults that were injected, and counts both in a confusion matrix. */
final class FindingComparison {
    private static final String OUTSIDE_LOAD = "outside-load";
    private static final String RESTART = "restart";
    /** Findings that may follow from a fault beside its own. */
    private static final Map<String, Set<String>> CONSEQUENCES =
            Map.of(OUTSIDE_LOAD, Set.of("slow-stock"), "purge", Set.of("slow-stock"));

    private static final long SECOND_US = 1_000_000;
    private static final long SLACK_TOLERANCE_US = 50_000;

    private final List<FaultPeriod> faults;
    private final List<Finding> findings;
    private final Map<String, Integer> matrix;
    private final Set<Finding> matched = new HashSet<>();
    private final List<String> mistakes = new ArrayList<>();

    FindingComparison(List<FaultPeriod> faults, List<Finding> findings, Map<String, Integer> matrix) {
        this.faults = faults;
        this.findings = findings;
        this.matrix = matrix;
    }

    /** What is not found, found more than once, found at the wrong time, or found although it did not happen. */
    List<String> mistakes() {
        // Load from outside shows only in what follows from it.
        faults.stream().filter(fault -> !fault.kind().equals(OUTSIDE_LOAD)).forEach(this::compareFault);
        findings.stream().filter(finding -> !matched.contains(finding)).forEach(this::compareUnmatched);
        return mistakes;
    }

    private static boolean matches(FaultPeriod fault, Finding finding) {
        String kind = finding.kind().label();
        boolean sameKind = fault.kind().equals("silent") ? kind.startsWith("silent-") : kind.equals(fault.kind());
        boolean sameServers = finding.servers().isEmpty() && fault.servers().isEmpty()
                || finding.servers().stream().anyMatch(fault.servers()::contains)
                || fault.kind().endsWith("stock");
        return sameKind && sameServers;
    }

    private void compareFault(FaultPeriod fault) {
        List<Finding> found =
                findings.stream().filter(finding -> matches(fault, finding)).toList();
        matched.addAll(found);
        count(fault.kind() + " -> "
                + (found.isEmpty() ? "nothing" : found.get(0).kind().label()));
        int expected = fault.kind().equals(RESTART) ? fault.servers().size() : 1;
        if (found.size() != expected) {
            mistakes.add(fault.kind() + " " + fault.servers() + ": found " + found.size() + " times");
        }
        found.forEach(finding -> compareTimes(fault, finding));
    }

    private void compareTimes(FaultPeriod fault, Finding finding) {
        long startOffUs = finding.fromUs() - fault.fromUs();
        long endOffUs = finding.toUs() - fault.toUs();
        long offUs = Math.max(Math.abs(startOffUs), Math.abs(endOffUs));
        matrix.merge("times within 1 s", offUs > SECOND_US ? 0 : 1, Integer::sum);
        if (offUs > SECOND_US) {
            count(fault.kind() + " more than 1 s off");
        }
        // Where health-check attempts at a silent server are far apart, the records can't tell its end any better.
        if (offUs > Math.max(SECOND_US, finding.slackUs() + SLACK_TOLERANCE_US)) {
            mistakes.add(fault.kind() + " " + fault.servers() + ": off by " + startOffUs / 1000 + " and "
                    + endOffUs / 1000 + " ms");
        }
    }

    private void compareUnmatched(Finding finding) {
        String kind = finding.kind().label();
        boolean consequence = faults.stream()
                .anyMatch(fault ->
                        CONSEQUENCES.getOrDefault(fault.kind(), Set.of()).contains(kind));
        count("nothing -> " + kind + (consequence ? " (consequence of another)" : ""));
        if (!consequence) {
            mistakes.add("not injected: " + finding);
        }
    }

    private void count(String cell) {
        matrix.merge(cell, 1, Integer::sum);
    }
}
