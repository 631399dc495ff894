package petrelplank.routing;

/**
 * Ejects endpoints that fail: after one conclusive failure or several others in a row, until a health-check attempt (a
 * client's request that is sent to the ejected endpoint after a pause) succeeds.
 */
final class OutlierDetector {
    /** How much one failure says of an endpoint. */
    enum Evidence {
        /** It is enough to eject the endpoint. */
        CONCLUSIVE,
        /** Several in a row are needed. */
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

    /** Up and not ejected; an ejected endpoint whose pause is over is ready for one health-check attempt at a time. */
    boolean isReady(Endpoint endpoint, long now) {
        EjectionState ejection = endpoint.ejection;
        return endpoint.isUp()
                && (!ejection.ejected || (now >= ejection.healthCheckAtUs && !ejection.healthCheckInFlight));
    }

    /** An attempt failed by the endpoint's fault; for an ejected one only health-check attempts count. */
    void recordFailure(Endpoint endpoint, long now, Evidence evidence, boolean healthCheck) {
        EjectionState ejection = endpoint.ejection;
        ejection.failures++;
        ejection.unreachable = false;
        boolean enough = evidence == Evidence.CONCLUSIVE || ejection.failures >= FAILURES_TO_EJECT;
        if (ejection.ejected ? healthCheck : enough) {
            eject(endpoint, now);
        }
    }

    private void eject(Endpoint endpoint, long now) {
        EjectionState ejection = endpoint.ejection;
        ejection.pauseUs = ejection.ejected ? backoff.nextPauseUs(ejection.pauseUs) : backoff.firstPauseUs();
        ejection.healthCheckAtUs = now + ejection.pauseUs;
        actions.ejected(endpoint.id, ejection.ejected, ejection.pauseUs);
        String event = ejection.ejected ? "health check failed: " : "ejected: ";
        log.log(now, event + endpoint.id + ", ms " + ejection.pauseUs / US_PER_MS);
        ejection.ejected = true;
    }

    /** A failure proved to be the request's own. */
    void pardonFailure(Endpoint endpoint, long now) {
        EjectionState ejection = endpoint.ejection;
        ejection.failures = Math.max(0, ejection.failures - 1);
        if (ejection.ejected && ejection.failures < FAILURES_TO_EJECT) {
            recordSuccess(endpoint, now);
        }
    }

    /** An attempt succeeded: an ejected endpoint is used again. */
    void recordSuccess(Endpoint endpoint, long now) {
        endpoint.ejection.failures = 0;
        if (endpoint.ejection.ejected) {
            endpoint.ejection.ejected = false;
            actions.recovered(endpoint.id);
            log.log(now, "recovered: " + endpoint.id);
        }
    }
}
