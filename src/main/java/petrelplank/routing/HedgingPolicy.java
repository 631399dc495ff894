package petrelplank.routing;

import java.util.HashMap;
import java.util.Map;
import petrelplank.routing.Endpoint.Role;

/**
 * When an attempt without a response is checked, and when it counts as unresponsive: an estimate of response times
 * and of their deviation, as parts of the latency objective.
 */
final class HedgingPolicy {
    /** Weight of a new sample in running means, and least deviation. */
    private static final double SMOOTHING = 0.05;

    private static final double INITIAL_DELAY = 0.25;
    /** Mean deviations beyond transfer time and mean delay after which an attempt is unresponsive. */
    private static final double DEVIATIONS = 6;

    private final RoutingPermissions permissions;
    private final Router.Actions actions;
    private final Map<Long, RequestState> requestsByTimer = new HashMap<>();
    private long lastTimer;
    /** Mean response time beside the transfer, as a part of the objective. */
    private double delay = INITIAL_DELAY;

    private double delayDeviation = INITIAL_DELAY;

    HedgingPolicy(RoutingPermissions permissions, Router.Actions actions) {
        this.permissions = permissions;
        this.actions = actions;
    }

    /** Learns from a cache's response. */
    void recordOutcome(RequestState request, AttemptState attempt, AttemptOutcome outcome) {
        if (outcome.status() == AttemptStatus.OK && attempt.endpoint.role == Role.EDGE) {
            double part = (outcome.latencyUs() - attempt.transferUs) / request.latencyObjectiveUs();
            delayDeviation += SMOOTHING * (Math.abs(part - delay) - delayDeviation);
            delay += SMOOTHING * (part - delay);
        }
    }

    /**
     * The time after which an attempt is unresponsive; longer for one that would be late anyway, and after the first.
     */
    double hedgeDelayUs(RequestState request) {
        double objectiveUs = request.latencyObjectiveUs();
        double allowanceUs = DEVIATIONS * Math.max(SMOOTHING, delayDeviation) * objectiveUs;
        double firstUs = request.transferUs + delay * objectiveUs + allowanceUs;
        boolean firstAttempt = request.attempts.size() < 2;
        return firstAttempt && firstUs + request.transferUs <= objectiveUs ? firstUs : firstUs + allowanceUs;
    }

    /** How the outcome stands against the request's latency objective. */
    Timeliness timeliness(RequestState request, AttemptOutcome outcome) {
        if (outcome.status() == AttemptStatus.OK) {
            return outcome.latencyUs() <= request.latencyObjectiveUs() ? Timeliness.IN_TIME : Timeliness.LATE;
        }
        boolean explained = outcome.status() == AttemptStatus.TIMEOUT && outcome.latencyUs() < hedgeDelayUs(request);
        return explained ? Timeliness.EXPIRED : Timeliness.FAILED;
    }

    /** Whether one more attempt may be made while one is in flight without a response. */
    boolean mayHedge(RequestState request) {
        return (permissions.hedging() || permissions.cancel())
                && request.serviceClass.idempotency() == Idempotency.IDEMPOTENT
                && request.attempts.size() < permissions.maxAttempts();
    }

    /** Sets a timer for the next check of the attempt: at its objective or at its hedge delay. */
    void scheduleCheck(RequestState request, AttemptState attempt, long now) {
        double objectiveUs = request.latencyObjectiveUs();
        long deadlineUs = request.request.deadlineUs();
        // Guards against a due time past all numbers, which wraps into the past and fires on and on.
        double latestUs = now > attempt.sentUs + objectiveUs ? deadlineUs : objectiveUs;
        double waitUs = Math.min(latestUs, mayHedge(request) ? hedgeDelayUs(request) : latestUs);
        long dueUs = attempt.sentUs + (long) waitUs + 1;
        if (dueUs < deadlineUs) {
            requestsByTimer.put(++lastTimer, request);
            actions.setTimer(lastTimer, dueUs);
        }
    }

    /** The request whose check is due with this timer; null where it is none of these timers. */
    RequestState takeDue(long timer) {
        return requestsByTimer.remove(timer);
    }
}
