package petrelplank.analysis;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import petrelplank.analysis.Observation.Outcome;

/** Finds endpoints that were asked again and again between one answer and the next, and said nothing. */
final class SilentEndpointDetector implements FindingDetector {
    private static final int MIN_UNANSWERED = 3;
    private static final long MIN_SILENCE_US = UnixTime.SECOND_US;
    /** So many times the usual pause between its answers must have passed. */
    private static final int MIN_USUAL_PAUSES = 8;
    /** An attempt may have been sent so long before the last answer, and not be answered. */
    private static final long SENT_BEFORE_US = UnixTime.SECOND_US;

    /**
     * A time without an answer.
     *
     * @param fromUs when the answer before came; the records' start where there is none
     * @param toUs when the first attempt that was answered again was sent; the records' end where there is none
     * @param afterAnswer there was an answer before
     * @param beforeAnswer there was an answer behind
     */
    private record Pause(long fromUs, long toUs, boolean afterAnswer, boolean beforeAnswer) {
        long lengthUs() {
            return toUs - fromUs;
        }
    }

    @Override
    public List<Finding> detect(IncidentTimeline timeline) {
        List<Finding> findings = new ArrayList<>();
        timeline.endpoints().forEach((id, statistics) -> {
            if (!timeline.isOrigin(id)) {
                findings.addAll(silences(timeline, id, statistics.observations()));
            }
        });
        return findings;
    }

    private static List<Finding> silences(IncidentTimeline timeline, String endpoint, List<Observation> observations) {
        List<Observation> unanswered = observations.stream()
                .filter(observation -> observation.outcome() == Outcome.UNANSWERED)
                .toList();
        if (unanswered.size() < MIN_UNANSWERED) {
            return List.of();
        }
        // By when they were known; an attempt sent before the silence may be answered late in it.
        List<Observation> answers = observations.stream()
                .filter(observation -> observation.outcome() != Outcome.UNANSWERED)
                .sorted(Comparator.comparingLong(Observation::resolvedUs))
                .toList();
        long minLengthUs = Math.max(MIN_SILENCE_US, MIN_USUAL_PAUSES * usualPauseUs(answers));
        List<Finding> findings = new ArrayList<>();
        for (Pause pause : pauses(timeline, answers)) {
            if (pause.lengthUs() >= minLengthUs) {
                silence(timeline, endpoint, pause, unanswered).ifPresent(findings::add);
            }
        }
        return findings;
    }

    private static long usualPauseUs(List<Observation> answers) {
        if (answers.size() < 2) {
            return 0;
        }
        LongStream pauses = LongStream.range(1, answers.size())
                .map(index -> answers.get((int) index).resolvedUs()
                        - answers.get((int) index - 1).resolvedUs());
        return Quantiles.quantile(pauses, Quantiles.MEDIAN);
    }

    private static List<Pause> pauses(IncidentTimeline timeline, List<Observation> answers) {
        List<Pause> pauses = new ArrayList<>();
        for (int next = 0; next <= answers.size(); next++) {
            boolean afterAnswer = next > 0;
            boolean beforeAnswer = next < answers.size();
            long fromUs = afterAnswer ? answers.get(next - 1).resolvedUs() : timeline.firstUs();
            // The first answer behind the pause to what was sent within it ends the silence before it was sent.
            long toUs = beforeAnswer ? Math.max(fromUs, answers.get(next).sentUs()) : timeline.lastUs();
            pauses.add(new Pause(fromUs, toUs, afterAnswer, beforeAnswer));
        }
        return pauses;
    }

    private static Optional<Finding> silence(
            IncidentTimeline timeline, String endpoint, Pause pause, List<Observation> unanswered) {
        List<Observation> within = unanswered.stream()
                .filter(attempt ->
                        attempt.sentUs() >= pause.fromUs() - SENT_BEFORE_US && attempt.sentUs() <= pause.toUs())
                .toList();
        if (within.size() < MIN_UNANSWERED) {
            return Optional.empty();
        }
        Observation last = within.get(within.size() - 1);
        long beginUs = Math.max(pause.fromUs(), within.get(0).sentUs());
        // It ended between the last attempt that was not answered and the first that was.
        long endUs = pause.beforeAnswer()
                ? (Math.max(beginUs, last.sentUs()) + pause.toUs()) / 2
                : Math.max(beginUs, last.resolvedUs());
        if (endUs - beginUs < MIN_SILENCE_US) {
            return Optional.empty();
        }
        return Optional.of(Finding.withSlack(
                timeline.isParent(endpoint) ? Finding.Kind.SILENT_HUB : Finding.Kind.SILENT_CACHE,
                List.of(endpoint),
                beginUs,
                endUs,
                pause.beforeAnswer() ? pause.toUs() - endUs : 0,
                within.size() + " attempts at it or by way of it were not answered",
                beginEvidence(pause),
                endEvidence(pause, last),
                EjectionEvidence.during(timeline, endpoint, beginUs, endUs)));
    }

    private static String beginEvidence(Pause pause) {
        return pause.afterAnswer()
                ? "its last answer came at " + UnixTime.timeOfDay(pause.fromUs())
                : "no answer before";
    }

    private static String endEvidence(Pause pause, Observation lastUnanswered) {
        return pause.beforeAnswer()
                ? "the last unanswered attempt was sent at " + UnixTime.timeOfDay(lastUnanswered.sentUs())
                        + ", the next answered one at " + UnixTime.timeOfDay(pause.toUs())
                : "no answer since";
    }
}
