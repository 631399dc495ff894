package petrelplank.routing;

/** Decides whether a request may have another attempt, by deadline, attempt limit, idempotency and retry budget. */
final class RetryPolicy {
    private final RouterSettings settings;
    private final RetryBudget budget;

    RetryPolicy(RouterSettings settings, RetryBudget budget) {
        this.settings = settings;
        this.budget = budget;
    }

    /** Returns why no attempt may be sent now; null if one may. */
    TerminationReason reasonToStop(RequestState request, long now) {
        if (request.clientRequest.deadlineUs() - now <= request.transferUs / 2) {
            return TerminationReason.DEADLINE_TOO_CLOSE;
        }
        if (request.attempts.size() - request.withdrawnAttempts
                >= settings.permissions().maxAttempts()) {
            return TerminationReason.ATTEMPTS_EXHAUSTED;
        }
        return mayExecuteAgain(request, now) ? null : TerminationReason.MAY_HAVE_EXECUTED;
    }

    /**
     * Takes a retry from the budget; false if the budget is used up, the last attempt could not be sent, or the request
     * itself causes the errors. Retries after a miss or a failed connect, or in place of a withdrawn attempt, are free.
     */
    boolean tryRetry(RequestState request, AttemptStatus status) {
        if (status == AttemptStatus.WITHDRAWN) {
            return true;
        }
        double cost = status == AttemptStatus.MISS || status == AttemptStatus.CONNECT_FAILED ? 0 : 1;
        if (!budget.canAfford(cost) || status == AttemptStatus.NOT_SENT || request.isCauseOfErrors()) {
            return false;
        }
        budget.withdraw(cost);
        return true;
    }

    /** Records when the request may first have been executed by an endpoint. */
    void recordExecution(RequestState request, AttemptState attempt, AttemptStatus status) {
        if (!status.neverExecuted() && status != AttemptStatus.OK && !request.mayHaveExecuted) {
            request.mayHaveExecuted = true;
            request.firstExecutionUs = attempt.sentUs;
        }
    }

    /** Whether the client can repeat the request without the risk of a second execution that is not allowed. */
    boolean isSafeForClientToRetry(RequestState request) {
        return !request.mayHaveExecuted || request.serviceClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    /**
     * Returns the time within which the next attempt may be written: as long as its client waits and, once the request
     * may have been executed, for the rest of the window of its idempotency key.
     */
    long sendWithinUs(RequestState request, long now) {
        long untilDeadlineUs = Math.max(1, request.clientRequest.deadlineUs() - now);
        if (isSafeForClientToRetry(request)) {
            return untilDeadlineUs;
        }
        return Math.min(untilDeadlineUs, request.firstExecutionUs + request.serviceClass.idempotencyWindowUs() - now);
    }

    /**
     * Whether another execution is harmless. A request with an idempotency key has to arrive within its window, even if
     * connecting takes the longest possible time.
     */
    private boolean mayExecuteAgain(RequestState request, long now) {
        ServiceClass serviceClass = request.serviceClass;
        return isSafeForClientToRetry(request)
                || serviceClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && serviceClass.idempotencyScope() == IdempotencyScope.ALL
                        && now + settings.connectTimeoutUs() - request.firstExecutionUs
                                < serviceClass.idempotencyWindowUs();
    }
}
