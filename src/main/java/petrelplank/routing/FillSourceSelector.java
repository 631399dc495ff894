package petrelplank.routing;

import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import petrelplank.routing.Endpoint.Role;

/**
 * Selects whom a miss is filled from by Q-learning: the eligible parent with the object group's highest value, or any
 * at a small exploring share; the origin only where no parent is eligible or all values are below zero. Ties go to the
 * nearest hub, then by rendezvous hash.
 */
final class FillSourceSelector {
    /** Payoff of a fill before load; a failed one pays as much less than nothing. */
    private static final double FILL_PAYOFF = 1000;
    /** Most that load takes off a fill's payoff. */
    private static final double MAX_LOAD_PENALTY = 100;
    /** Values this close tie: the noise of a few fills. */
    private static final double TIE = MAX_LOAD_PENALTY / 5;
    /** Share of fills that go to any eligible parent, to learn its value anew. */
    private static final double EXPLORATION_SHARE = 0.02;

    private final EligibleEndpoints eligible;
    private final EndpointRegistry endpoints;
    private final SlowStart slowStart;
    private final SplittableRandom random;

    FillSourceSelector(
            EligibleEndpoints eligible, EndpointRegistry endpoints, SlowStart slowStart, SplittableRandom random) {
        this.eligible = eligible;
        this.endpoints = endpoints;
        this.slowStart = slowStart;
        this.random = random;
    }

    /** The source for the next attempt; null where there is none. */
    Endpoint select(RequestState request, long now) {
        long object = request.request.object();
        int group = QTable.groupOf(object);
        List<Endpoint> parents = eligible.parents(request, now);
        parents.removeIf(parent -> Hash.unit(Hash.mix(object + parent.hash)) > slowStart.capacityFraction(parent, now));
        parents.removeIf(parent -> !slowStart.canAfford(parent, request.transferUs, now));
        boolean mayUseOrigin = !request.originAccess.isOnlyIfCached() && eligible.isOriginEligible(request, now);
        double mean = meanValue(parents, group);
        double highest = parents.stream()
                .mapToDouble(parent -> parent.qTable.value(group, mean))
                .max()
                .orElse(-FILL_PAYOFF);
        if (parents.isEmpty() || highest < 0 && mayUseOrigin) {
            return mayUseOrigin ? endpoints.origin() : null;
        }
        if (random.nextDouble() < EXPLORATION_SHARE) {
            return parents.get(random.nextInt(parents.size()));
        }
        return parents.stream()
                .filter(parent -> parent.qTable.value(group, mean) >= highest - TIE)
                .min(Comparator.<Endpoint>comparingInt(parent -> parent.hubDistance)
                        .thenComparing(parent -> Hash.mix(parent.hash + group), Comparator.reverseOrder()))
                .get();
    }

    /** Learns from a fill; the wait is what load adds, since size is not load. */
    void recordFill(Endpoint source, RequestState request, double waitUs) {
        double load = Math.min(1, waitUs / request.serviceClass.latencyObjectiveUs());
        learn(source, request, FILL_PAYOFF - MAX_LOAD_PENALTY * load);
    }

    /** Learns from a fill that failed by the source's fault. */
    void recordFailure(Endpoint source, RequestState request) {
        learn(source, request, -FILL_PAYOFF);
    }

    private void learn(Endpoint source, RequestState request, double payoff) {
        if (source.role == Role.PARENT) {
            int group = QTable.groupOf(request.request.object());
            source.qTable.learn(group, payoff, meanValue(endpoints.parents(), group));
        }
    }

    /** The mean of the learned values, which stands for those not learned yet. */
    private static double meanValue(List<Endpoint> parents, int group) {
        return parents.stream()
                .filter(parent -> parent.qTable.isLearned(group))
                .mapToDouble(parent -> parent.qTable.value(group))
                .average()
                .orElse(FILL_PAYOFF);
    }
}
