package petrelplank.routing;

/**
 * Ejects failing endpoints: after one conclusive failure, or after several consecutive inconclusive ones. An endpoint
 * stays ejected until a health-check attempt succeeds, which is a client's request that is sent to the ejected endpoint
 * after a pause.
 */
final class OutlierDetector {
    /** How strongly one failure indicates that the endpoint is faulty. */
    enum Evidence {
        /** One such failure ejects the endpoint. */
        CONCLUSIVE,
        /** Only several consecutive failures eject the endpoint. */
        INCONCLUSIVE
    }

    private static final int FAILURES_TO_EJECT = 3;
    private static final int US_PER_MS = 1000;

    private final EjectionBackoff backoff;
    private final Router.Actions actions;
    private final RateLimitedLog log;

    OutlierDetector(long connectTimeoutUs, Router.Actions actions, RateLimitedLog log) {
        this.backoff = new EjectionBackoff(connectTimeoutUs);
        this.actions = actions;
        this.log = log;
    }

    /**
     * Whether the endpoint may be sent an attempt: it is up, and either not ejected, or its pause is over and no
     * health-check attempt is in flight.
     */
    boolean isReady(Endpoint endpoint, long now) {
        EjectionState ejection = endpoint.ejection;
        return endpoint.isUp()
                && (!ejection.ejected || (now >= ejection.healthCheckAtUs && !ejection.healthCheckInFlight));
    }

    /**
     * Records an attempt that failed because of the endpoint. For an ejected endpoint, only a failed health-check
     * attempt extends the ejection.
     */
    void recordFailure(Endpoint endpoint, long now, Evidence evidence, boolean healthCheck) {
        EjectionState ejection = endpoint.ejection;
        ejection.consecutiveFailures++;
        ejection.connectFailed = false;
        boolean sufficient = evidence == Evidence.CONCLUSIVE || ejection.consecutiveFailures >= FAILURES_TO_EJECT;
        if (ejection.ejected ? healthCheck : sufficient) {
            eject(endpoint, now);
        }
    }

    private void eject(Endpoint endpoint, long now) {
        EjectionState ejection = endpoint.ejection;
        ejection.pauseUs = ejection.ejected ? backoff.nextPauseUs(ejection.pauseUs) : backoff.firstPauseUs();
        ejection.healthCheckAtUs = now + ejection.pauseUs;
        actions.ejected(endpoint.id, ejection.ejected, ejection.pauseUs);
        String event = ejection.ejected ? "health check failed: " : "ejected: ";
        log.log(now, event + endpoint.id + ", next health check in " + ejection.pauseUs / US_PER_MS + " ms");
        ejection.ejected = true;
    }

    /** Withdraws a recorded failure that turned out to be caused by the request itself. */
    void retractFailure(Endpoint endpoint, long now) {
        EjectionState ejection = endpoint.ejection;
        ejection.consecutiveFailures = Math.max(0, ejection.consecutiveFailures - 1);
        if (ejection.ejected && ejection.consecutiveFailures < FAILURES_TO_EJECT) {
            recordSuccess(endpoint, now);
        }
    }

    /** Records a successful attempt, which ends an ejection. */
    void recordSuccess(Endpoint endpoint, long now) {
        endpoint.ejection.consecutiveFailures = 0;
        if (endpoint.ejection.ejected) {
            endpoint.ejection.ejected = false;
            actions.recovered(endpoint.id);
            log.log(now, "recovered: " + endpoint.id);
        }
    }
}
