package petrelplank.routing;

/** Whether a request may have one more attempt: its deadline, the bound on attempts, idempotency and the budget. */
final class RetryPolicy {
    private final RouterSettings settings;
    private final RetryBudget budget;

    RetryPolicy(RouterSettings settings, RetryBudget budget) {
        this.settings = settings;
        this.budget = budget;
    }

    /** Why no attempt may be sent now; null where one may. */
    TerminationReason reasonToStop(RequestState request, long now) {
        if (request.request.deadlineUs() - now <= request.transferUs / 2) {
            return TerminationReason.DEADLINE_TOO_CLOSE;
        }
        if (request.attempts.size() >= settings.permissions().maxAttempts()) {
            return TerminationReason.ATTEMPTS_EXHAUSTED;
        }
        return mayExecuteAgain(request, now) ? null : TerminationReason.MAY_HAVE_EXECUTED;
    }

    /** Takes a retry off the budget; false where the budget, or the request's own errors, forbid it. */
    boolean tryRetry(RequestState request, AttemptStatus status) {
        double cost = status == AttemptStatus.MISS || status == AttemptStatus.CONNECT_FAILED ? 0 : 1;
        if (!budget.canAfford(cost) || status == AttemptStatus.NOT_SENT || request.isAtFaultItself()) {
            return false;
        }
        budget.spend(cost);
        return true;
    }

    /** Notes when the request may first have run at a server. */
    void recordExecution(RequestState request, AttemptState attempt, AttemptStatus status) {
        if (!status.neverExecuted() && status != AttemptStatus.OK && !request.mayHaveExecuted) {
            request.mayHaveExecuted = true;
            request.firstExecutionUs = attempt.sentUs;
        }
    }

    /** Whether a client may send the request again without harm. */
    boolean isSafeForClientToRetry(RequestState request) {
        return !request.mayHaveExecuted || request.serviceClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    /** A request with a key has to arrive inside its window, connecting included. */
    private boolean mayExecuteAgain(RequestState request, long now) {
        ServiceClass serviceClass = request.serviceClass;
        return isSafeForClientToRetry(request)
                || serviceClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && serviceClass.idempotencyScope() == IdempotencyScope.ALL
                        && now + settings.connectTimeoutUs() - request.firstExecutionUs
                                < serviceClass.idempotencyWindowUs();
    }
}
