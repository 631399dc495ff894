package petrelplank.routing;

import petrelplank.routing.OutlierDetector.Evidence;

/**
 * Detects attempts whose missing response neither the size nor the usual delay explains, and decides whether another
 * attempt is sent. If hedging is allowed, both are in flight; otherwise the first one is cancelled.
 *
 * <p>The new attempt avoids the endpoint of the first unless that has answered other attempts since; then it avoids the
 * source of the fill if that has not answered since either. It is taken from the retry budget. Under overload the usual
 * delay rises, so that hedging stops by itself.
 */
final class UnresponsiveAttemptDetector {
    private static final double HEDGE_COST = 1;

    private final HedgingPolicy hedging;
    private final RetryBudget retryBudget;
    private final InFlightAttempts attempts;
    private final OriginCallMonitor originCalls;
    private final OutlierDetector outliers;
    private final FillSourceSelector sources;

    UnresponsiveAttemptDetector(
            HedgingPolicy hedging,
            RetryBudget retryBudget,
            InFlightAttempts attempts,
            OriginCallMonitor originCalls,
            OutlierDetector outliers,
            FillSourceSelector sources) {
        this.hedging = hedging;
        this.retryBudget = retryBudget;
        this.attempts = attempts;
        this.originCalls = originCalls;
        this.outliers = outliers;
        this.sources = sources;
    }

    /** Checks the last attempt of a request, and returns whether another attempt is to be sent now. */
    boolean check(RequestState request, long now) {
        AttemptState attempt = request.attempts.get(request.attempts.size() - 1);
        boolean alreadyHandled = attempt == null || attempt == request.unresponsiveAttempt;
        if (request.completed || request.inFlight != 1 || alreadyHandled) {
            return false;
        }
        originCalls.recordIfLate(request, attempt, now);
        if (now < attempt.sentUs + hedging.hedgeDelayUs(request)) {
            hedging.scheduleCheck(request, attempt, now);
            return false;
        }
        attempts.markUnresponsive(request, attempt);
        boolean enoughTime = request.clientRequest.deadlineUs() - now > request.transferUs;
        if (!retryBudget.canAfford(HEDGE_COST) || !hedging.mayHedge(request) || !enoughTime) {
            return false;
        }
        retryBudget.withdraw(HEDGE_COST);
        request.hedged = true;
        excludeUnresponsiveEndpoint(request, attempt, now);
        return true;
    }

    private void excludeUnresponsiveEndpoint(RequestState request, AttemptState attempt, long now) {
        if (attempt.endpoint.lastResponseUs < attempt.sentUs) {
            outliers.recordFailure(attempt.endpoint, now, Evidence.INCONCLUSIVE, attempt.healthCheck);
            request.excludedEndpoints.add(attempt.endpoint);
        } else if (attempt.isFill() && attempt.source.lastResponseUs < attempt.sentUs) {
            sources.recordFailure(attempt.source, request);
            outliers.recordFailure(attempt.source, now, Evidence.INCONCLUSIVE, attempt.healthCheck);
            request.excludedEndpoints.add(attempt.source);
        }
    }
}
