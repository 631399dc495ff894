package petrelplank.routing;

/** Accounts for attempts in flight: concurrency limits, slow-start budgets and health checks of ejected endpoints. */
final class InFlightAttempts {
    private final RoutingPermissions permissions;
    private final Router.Actions actions;
    private final ConcurrencyLimiter limiter;
    private final SlowStart slowStart;
    private final TransferTimeEstimator transferTimes;
    private final double windowUs;

    InFlightAttempts(
            RoutingPermissions permissions,
            Router.Actions actions,
            ConcurrencyLimiter limiter,
            SlowStart slowStart,
            TransferTimeEstimator transferTimes,
            double windowUs) {
        this.permissions = permissions;
        this.actions = actions;
        this.limiter = limiter;
        this.slowStart = slowStart;
        this.transferTimes = transferTimes;
        this.windowUs = windowUs;
    }

    /** Registers an attempt that is about to be sent; cancels earlier ones unless hedging is allowed. */
    AttemptState begin(RequestState request, AttemptRoute route, long now) {
        Endpoint endpoint = route.endpoint();
        Endpoint source = route.source();
        boolean healthCheck = endpoint.ejection.ejected || source.ejection.ejected;
        if (!permissions.hedging()) {
            cancelAll(request);
        }
        endpoint.ejection.healthCheckInFlight |= endpoint.ejection.ejected;
        source.ejection.healthCheckInFlight |= source.ejection.ejected;
        AttemptState attempt = new AttemptState(route, now, request.transferUs, healthCheck);
        request.attempts.add(attempt);
        request.inFlight++;
        endpoint.inFlightTransferUs += request.transferUs;
        limiter.acquire(attempt);
        endpoint.sentTransferRate.add(now, request.transferUs, windowUs);
        slowStart.charge(endpoint, transferTimes.meanTransferUs(request.classIndex), now);
        if (source != endpoint) {
            slowStart.charge(source, request.transferUs, now);
        }
        return attempt;
    }

    /** Removes an attempt that has ended and returns its state; null if it had ended before. */
    AttemptState end(RequestState request, int number) {
        AttemptState attempt = request.attempts.set(number, null);
        if (attempt == null) {
            return null;
        }
        request.inFlight--;
        Endpoint endpoint = attempt.endpoint;
        endpoint.inFlightTransferUs = Math.max(0, endpoint.inFlightTransferUs - attempt.transferUs);
        if (attempt != request.unresponsiveAttempt) {
            limiter.release(attempt);
        }
        endpoint.ejection.healthCheckInFlight &= !attempt.healthCheck;
        attempt.source.ejection.healthCheckInFlight &= !attempt.healthCheck;
        return attempt;
    }

    /** Cancels all attempts of the request that are in flight, if cancelling is allowed. */
    void cancelAll(RequestState request) {
        if (!permissions.cancel()) {
            return;
        }
        for (int i = 0; i < request.attempts.size() && request.inFlight > 0; i++) {
            if (end(request, i) != null) {
                actions.cancel(request.clientRequest.id(), i);
            }
        }
    }

    /** Marks an attempt as unresponsive and takes it off the concurrency limits, since a lost response is not load. */
    void markUnresponsive(RequestState request, AttemptState attempt) {
        request.unresponsiveAttempt = attempt;
        limiter.release(attempt);
    }
}
