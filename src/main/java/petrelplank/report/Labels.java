package petrelplank.report;

import java.util.Collection;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import petrelplank.analysis.Finding;
import petrelplank.routing.EndpointState;

/** What things are called in the page and in the summary. */
final class Labels {
    /** By the external name of a termination reason. */
    private static final Map<String, String> TERMINATION_REASONS = Map.of(
            "time", "too little of its time was left",
            "origin-short", "the central stock is short, and its writes are shed",
            "attempts", "it had had all its attempts",
            "may-have-run", "an attempt may have run, and it may not run twice",
            "no-retry", "the retry budget was used up, or its errors were its own",
            "no-server", "no server might take it",
            "no-fill", "no fill might be made for it, and no cache held it");

    private Labels() {}

    static String of(Finding.Kind kind) {
        return kind.label().replace('-', ' ');
    }

    /** Kinds of findings, each once, in one line. */
    static String of(Collection<Finding.Kind> kinds) {
        return kinds.stream().map(Labels::of).distinct().collect(Collectors.joining(", "));
    }

    /** A finding's kind as a heading. */
    static String heading(Finding finding) {
        String label = of(finding.kind());
        return Character.toUpperCase(label.charAt(0)) + label.substring(1);
    }

    static String of(EndpointState state) {
        return switch (state) {
            case UP -> "up";
            case DRAINING -> "draining";
            case REMOVED -> "gone";
        };
    }

    static String ofTerminationReason(String reason) {
        return TERMINATION_REASONS.getOrDefault(reason, reason);
    }

    /** A share from 0 to 1; unknown where it is not a number. */
    static String percent(double share) {
        return Double.isNaN(share) ? "unknown" : String.format(Locale.ROOT, "%.2f%%", 100 * share);
    }
}
