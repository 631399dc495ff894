package petrelplank.analysis;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import petrelplank.analysis.Observation.Outcome;

/** Finds endpoints that answered many requests with an error. */
final class FastFailureDetector implements FindingDetector {
    /** Errors that belong together are not further apart. */
    private static final long MAX_ERROR_DISTANCE_US = 4 * UnixTime.SECOND_US;

    private static final int MIN_ERRORS = 5;
    private static final double MIN_ERROR_SHARE = 0.15;

    @Override
    public List<Finding> detect(IncidentTimeline timeline) {
        List<Finding> findings = new ArrayList<>();
        timeline.endpoints().forEach((id, statistics) -> {
            if (!timeline.isOrigin(id)) {
                List<Observation> observations = statistics.observations();
                for (List<Observation> errors : errorSeries(observations)) {
                    fastFailures(timeline, id, observations, errors).ifPresent(findings::add);
                }
            }
        });
        return findings;
    }

    private static List<List<Observation>> errorSeries(List<Observation> observations) {
        List<Observation> errors = observations.stream()
                .filter(observation -> observation.outcome() == Outcome.ERROR)
                .toList();
        List<List<Observation>> series = new ArrayList<>();
        int begin = 0;
        for (int next = 1; next <= errors.size(); next++) {
            boolean belongs = next < errors.size()
                    && errors.get(next).sentUs() - errors.get(next - 1).sentUs() <= MAX_ERROR_DISTANCE_US;
            if (!belongs) {
                series.add(errors.subList(begin, next));
                begin = next;
            }
        }
        return series;
    }

    private static Optional<Finding> fastFailures(
            IncidentTimeline timeline, String endpoint, List<Observation> observations, List<Observation> errors) {
        long fromUs = errors.get(0).sentUs();
        long lastUs = errors.get(errors.size() - 1).resolvedUs();
        long answers = observations.stream()
                .filter(observation -> observation.outcome() == Outcome.ANSWERED
                        && observation.sentUs() >= fromUs
                        && observation.resolvedUs() <= lastUs)
                .count();
        if (errors.size() < MIN_ERRORS || errors.size() < MIN_ERROR_SHARE * (errors.size() + answers)) {
            return Optional.empty();
        }
        long nextAnsweredUs = observations.stream()
                .filter(observation -> observation.outcome() == Outcome.ANSWERED && observation.sentUs() > lastUs)
                .mapToLong(Observation::sentUs)
                .min()
                .orElse(lastUs);
        return Optional.of(Finding.withSlack(
                Finding.Kind.FAST_FAILURES,
                List.of(endpoint),
                fromUs,
                (lastUs + nextAnsweredUs) / 2,
                (nextAnsweredUs - lastUs) / 2,
                errors.size() + " errors and " + answers + " other answers meanwhile",
                "the first error came at " + UnixTime.timeOfDay(fromUs) + ", the last at " + UnixTime.timeOfDay(lastUs),
                EjectionEvidence.during(timeline, endpoint, fromUs, lastUs)));
    }
}
