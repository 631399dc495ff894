package petrelplank.routing;

import java.util.HashMap;
import java.util.Map;
import petrelplank.routing.Endpoint.Role;

/**
 * Decides when an attempt without a response is checked, and when it counts as unresponsive. It estimates the mean and
 * the deviation of response delays, as fractions of the latency objective.
 */
final class HedgingPolicy {
    /** Weight of a new sample in the running means, and lower bound of the deviation. */
    private static final double SMOOTHING = 0.05;

    private static final double INITIAL_DELAY = 0.25;
    /** An attempt is unresponsive this many mean deviations after its transfer time and the mean delay. */
    private static final double HEDGE_DEVIATIONS = 6;

    private final RoutingPermissions permissions;
    private final Router.Actions actions;
    private final Map<Long, RequestState> requestsByTimer = new HashMap<>();
    private long lastTimerToken;
    /** Mean response time without the transfer, as a fraction of the latency objective. */
    private double meanDelay = INITIAL_DELAY;

    private double meanDelayDeviation = INITIAL_DELAY;

    HedgingPolicy(RoutingPermissions permissions, Router.Actions actions) {
        this.permissions = permissions;
        this.actions = actions;
    }

    /** Updates the estimates from a successful response of a cache. */
    void recordOutcome(RequestState request, AttemptState attempt, AttemptOutcome outcome) {
        if (outcome.status() == AttemptStatus.OK && attempt.endpoint.role == Role.LOCAL_CACHE) {
            double delayFraction = (outcome.latencyUs() - attempt.transferUs) / request.latencyObjectiveUs();
            meanDelayDeviation += SMOOTHING * (Math.abs(delayFraction - meanDelay) - meanDelayDeviation);
            meanDelay += SMOOTHING * (delayFraction - meanDelay);
        }
    }

    /**
     * Returns the time after which an attempt is unresponsive. It is longer for attempts after the first, and if
     * another attempt sent at that time could not meet the latency objective.
     */
    double hedgeDelayUs(RequestState request) {
        double objectiveUs = request.latencyObjectiveUs();
        double marginUs = HEDGE_DEVIATIONS * Math.max(SMOOTHING, meanDelayDeviation) * objectiveUs;
        double baseDelayUs = request.transferUs + meanDelay * objectiveUs + marginUs;
        boolean firstAttempt = request.attempts.size() < 2;
        return firstAttempt && baseDelayUs + request.transferUs <= objectiveUs ? baseDelayUs : baseDelayUs + marginUs;
    }

    /** Compares the outcome of an attempt with the latency objective of its request. */
    Timeliness timeliness(RequestState request, AttemptOutcome outcome) {
        if (outcome.status() == AttemptStatus.OK) {
            return outcome.latencyUs() <= request.latencyObjectiveUs() ? Timeliness.IN_TIME : Timeliness.LATE;
        }
        boolean withinHedgeDelay =
                outcome.status() == AttemptStatus.TIMEOUT && outcome.latencyUs() < hedgeDelayUs(request);
        return withinHedgeDelay ? Timeliness.EARLY_TIMEOUT : Timeliness.FAILED;
    }

    /** Whether the request may get another attempt while one is in flight without a response. */
    boolean mayHedge(RequestState request) {
        return (permissions.hedging() || permissions.cancel())
                && request.serviceClass.idempotency() == Idempotency.IDEMPOTENT
                && request.attempts.size() < permissions.maxAttempts();
    }

    /** Sets a timer for the next check of the attempt: at its latency objective or its hedge delay. */
    void scheduleCheck(RequestState request, AttemptState attempt, long now) {
        double objectiveUs = request.latencyObjectiveUs();
        long deadlineUs = request.clientRequest.deadlineUs();
        // Once the objective has passed, the deadline stands for "no check": the due time is then past the deadline.
        // A larger value, such as Long.MAX_VALUE, would overflow to a time in the past, and the timer would fire again
        // and again.
        double maxWaitUs = now > attempt.sentUs + objectiveUs ? deadlineUs : objectiveUs;
        double waitUs = Math.min(maxWaitUs, mayHedge(request) ? hedgeDelayUs(request) : maxWaitUs);
        long dueUs = attempt.sentUs + (long) waitUs + 1;
        if (dueUs < deadlineUs) {
            requestsByTimer.put(++lastTimerToken, request);
            actions.setTimer(lastTimerToken, dueUs);
        }
    }

    /** Returns and forgets the request whose check is due; null if the timer belongs to no check. */
    RequestState removeDueCheck(long token) {
        return requestsByTimer.remove(token);
    }
}
