package petrelplank.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The implementation of {@link Router}. It takes each request through its life: {@link #requestReceived}, then attempts
 * until one brings the final answer or no further attempt is allowed. The decisions on the way are made by one class
 * for each concern, which {@link RouterComponents} creates.
 */
public final class RequestRouter implements Router {
    /** Token of the timer for the next call of {@link Actions#watchEndpoints}; tokens of attempt timers start at 1. */
    private static final long WATCH_TIMER = 0;
    /** Calls of {@link Actions#watchEndpoints} per poll interval while the discovery service fails. */
    private static final int WATCHES_PER_POLL_INTERVAL = 4;

    private final RouterSettings settings;
    private final Actions actions;
    private final EndpointRegistry endpoints;
    private final PurgeLog purges;
    private final ObjectPopularity popularity;
    private final RetryBudget retryBudget;
    private final RetryPolicy retryPolicy;
    private final SlowStart slowStart;
    private final HedgingPolicy hedging;
    private final RequestAdmission admission;
    private final AttemptPlanner planner;
    private final InFlightAttempts attempts;
    private final AttemptSender sender;
    private final UnresponsiveAttemptDetector unresponsiveDetector;
    private final OutcomeRecorder outcomes;
    private final Map<String, RequestState> requests = new HashMap<>();

    /**
     * Creates a router for one proxy, and subscribes to the endpoint list if the settings ask for it.
     *
     * @param settings the settings of the router
     * @param seed seed of all random numbers
     * @param actions the actions that the host performs for the router
     */
    public RequestRouter(RouterSettings settings, long seed, Actions actions) {
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.actions = Objects.requireNonNull(actions, "actions must not be null");
        RouterComponents components = new RouterComponents(settings, seed, actions);
        this.endpoints = components.endpoints;
        this.purges = components.purges;
        this.popularity = components.popularity;
        this.retryBudget = components.retryBudget;
        this.retryPolicy = components.retryPolicy;
        this.slowStart = components.slowStart;
        this.hedging = components.hedging;
        this.admission = components.admission;
        this.planner = components.planner;
        this.attempts = components.attempts;
        this.sender = components.sender;
        this.unresponsiveDetector = components.unresponsiveDetector;
        this.outcomes = components.outcomes;
        if (settings.watchEndpoints()) {
            actions.watchEndpoints();
        }
    }

    @Override
    public void endpointsChanged(long now, boolean complete, List<EndpointInfo> entries) {
        endpoints.update(now, complete, entries);
    }

    @Override
    public void discoveryFailed(long now) {
        if (settings.watchEndpoints()) {
            long waitUs = Math.max(1, settings.rules().pollIntervalUs() / WATCHES_PER_POLL_INTERVAL);
            actions.setTimer(WATCH_TIMER, now + waitUs);
        }
    }

    @Override
    public void timerFired(long now, long token) {
        RequestState request = hedging.removeDueCheck(token);
        if (request != null) {
            if (unresponsiveDetector.check(request, now)) {
                sendNextAttempt(request, now);
            }
        } else if (token == WATCH_TIMER && settings.watchEndpoints()) {
            actions.watchEndpoints();
        }
    }

    @Override
    public void objectPurged(long now, long object, long ageUs) {
        purges.recordObject(object, now - ageUs);
    }

    @Override
    public void groupPurged(long now, int group, long ageUs) {
        purges.recordGroup(group, now - ageUs);
    }

    @Override
    public void requestReceived(long now, RoutingRequest request) {
        RequestState state = admission.admit(request, now);
        if (state == null) {
            actions.reject(request.id(), 0);
            return;
        }
        requests.put(request.id(), state);
        popularity.recordRequest(now, state.objectKey);
        slowStart.measureLoad(now);
        retryBudget.deposit();
        sendNextAttempt(state, now);
    }

    @Override
    public void attemptEnded(long now, AttemptOutcome outcome) {
        RequestState request = requests.get(outcome.request());
        int number = outcome.attempt();
        if (request == null || number < 0 || number >= request.attempts.size()) {
            return;
        }
        AttemptState attempt = attempts.end(request, number);
        if (attempt != null) {
            processOutcome(now, request, attempt, outcome);
        } else if (outcome.completed()) {
            clientDisconnected(now, outcome.request());
        }
    }

    private void processOutcome(long now, RequestState request, AttemptState attempt, AttemptOutcome outcome) {
        request.completed |= outcome.completed();
        if (outcome.status() == AttemptStatus.WITHDRAWN) {
            request.withdrawnAttempts++;
        } else {
            outcomes.record(request, attempt, outcome, now);
        }
        retryPolicy.recordExecution(request, attempt, outcome.status());
        if (request.completed) {
            attempts.cancelAll(request);
        } else if (request.inFlight == 0) {
            retryOrTerminate(request, outcome.status(), now);
        }
        removeIfDone(request);
    }

    private void retryOrTerminate(RequestState request, AttemptStatus status, long now) {
        if (retryPolicy.tryRetry(request, status)) {
            request.staleAllowed |= status != AttemptStatus.WITHDRAWN;
            sendNextAttempt(request, now);
        } else {
            terminate(request, TerminationReason.RETRY_BUDGET_EXHAUSTED);
        }
    }

    /** Sends the next attempt, or terminates the request if none is allowed. */
    private void sendNextAttempt(RequestState request, long now) {
        TerminationReason reason = retryPolicy.reasonToStop(request, now);
        if (reason != null) {
            terminate(request, reason);
            return;
        }
        AttemptRoute route = planner.plan(request, now);
        if (route.rejection() != null) {
            terminate(request, route.rejection());
        } else {
            sender.send(request, route, now);
        }
    }

    @Override
    public void streamStarted(long now, String request, int attempt) {
        RequestState state = requests.get(request);
        if (state != null) {
            state.completed = true;
            removeIfDone(state);
        }
    }

    /** Cancels the attempts of a request whose client disconnected: they are useless and count against the limits. */
    @Override
    public void clientDisconnected(long now, String request) {
        RequestState state = requests.get(request);
        if (state != null) {
            state.completed = true;
            attempts.cancelAll(state);
            removeIfDone(state);
        }
    }

    private void removeIfDone(RequestState request) {
        if (request.completed && request.inFlight == 0) {
            requests.remove(request.clientRequest.id());
        }
    }

    /**
     * Gives the final answer unless an attempt is still in flight: a rejection with advice on when to retry if the
     * client can safely repeat the request, else a failure.
     */
    private void terminate(RequestState request, TerminationReason reason) {
        if (request.inFlight > 0) {
            return;
        }
        request.completed = true;
        String id = request.clientRequest.id();
        actions.terminated(id, reason);
        if (retryPolicy.isSafeForClientToRetry(request)) {
            RoutingPermissions permissions = settings.permissions();
            actions.reject(id, permissions.retryAfter() ? permissions.maxRetryAfterUs() : 0);
        } else {
            actions.fail(id);
        }
        removeIfDone(request);
    }
}
