package petrelplank.routing;

import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import petrelplank.routing.Endpoint.Role;

/**
 * Selects the source from which a miss is filled, by Q-learning: the eligible parent with the highest value for the
 * object's group or, for a small share of fills, any eligible parent. The origin is the source only if no parent is
 * eligible or all values are negative. Ties are broken by the distance to the parent's hub, then by rendezvous hash.
 */
final class FillSourceSelector {
    /** Reward of a fill without load; a failed fill has the negative of this as its reward. */
    private static final double FILL_REWARD = 1000;
    /** Largest deduction from the reward of a fill because of load. */
    private static final double MAX_LOAD_PENALTY = 100;
    /** Values this close to each other count as equal: a few fills alone cause such differences. */
    private static final double TIE_TOLERANCE = MAX_LOAD_PENALTY / 5;
    /** Share of fills that go to a random eligible parent, to keep its learned value up to date. */
    private static final double EXPLORATION_RATE = 0.02;

    private final EligibleEndpoints eligibleEndpoints;
    private final EndpointRegistry endpoints;
    private final SlowStart slowStart;
    private final SplittableRandom random;

    FillSourceSelector(
            EligibleEndpoints eligibleEndpoints,
            EndpointRegistry endpoints,
            SlowStart slowStart,
            SplittableRandom random) {
        this.eligibleEndpoints = eligibleEndpoints;
        this.endpoints = endpoints;
        this.slowStart = slowStart;
        this.random = random;
    }

    /** Returns the fill source for the next attempt, or null if there is none. */
    Endpoint select(RequestState request, long now) {
        long object = request.clientRequest.object();
        int group = QTable.groupOf(object);
        List<Endpoint> parents = eligibleEndpoints.parents(request, now);
        parents.removeIf(parent ->
                Hash.toUnitInterval(Hash.mix(object + parent.hash)) > slowStart.capacityFraction(parent, now));
        parents.removeIf(parent -> !slowStart.canAfford(parent, request.transferUs, now));
        boolean mayUseOrigin =
                !request.originAccess.isOnlyIfCached() && eligibleEndpoints.isOriginEligible(request, now);
        double defaultValue = meanValue(parents, group);
        double highestValue = parents.stream()
                .mapToDouble(parent -> parent.qTable.value(group, defaultValue))
                .max()
                .orElse(-FILL_REWARD);
        if (parents.isEmpty() || highestValue < 0 && mayUseOrigin) {
            return mayUseOrigin ? endpoints.origin() : null;
        }
        if (random.nextDouble() < EXPLORATION_RATE) {
            return parents.get(random.nextInt(parents.size()));
        }
        return parents.stream()
                .filter(parent -> parent.qTable.value(group, defaultValue) >= highestValue - TIE_TOLERANCE)
                .min(Comparator.<Endpoint>comparingInt(parent -> parent.hubDistance)
                        .thenComparing(parent -> Hash.mix(parent.hash + group), Comparator.reverseOrder()))
                .get();
    }

    /** Learns from a successful fill. Load is measured by the wait for the source, which excludes the transfer time. */
    void recordFill(Endpoint source, RequestState request, double waitUs) {
        double load = Math.min(1, waitUs / request.serviceClass.latencyObjectiveUs());
        learn(source, request, FILL_REWARD - MAX_LOAD_PENALTY * load);
    }

    /** Learns from a fill that failed because of the source. */
    void recordFailure(Endpoint source, RequestState request) {
        learn(source, request, -FILL_REWARD);
    }

    private void learn(Endpoint source, RequestState request, double reward) {
        if (source.role == Role.PARENT) {
            int group = QTable.groupOf(request.clientRequest.object());
            source.qTable.learn(group, reward, meanValue(endpoints.parents(), group));
        }
    }

    /** Returns the mean of the learned values, which is the default for values that are not learned yet. */
    private static double meanValue(List<Endpoint> parents, int group) {
        return parents.stream()
                .filter(parent -> parent.qTable.isLearned(group))
                .mapToDouble(parent -> parent.qTable.value(group))
                .average()
                .orElse(FILL_REWARD);
    }
}
