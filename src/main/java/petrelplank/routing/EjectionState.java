package petrelplank.routing;

/** The state that the {@link OutlierDetector} keeps for each endpoint. */
final class EjectionState {
    /** Consecutive failures. */
    int consecutiveFailures;

    boolean ejected;
    /** Whether the last failure was a failed connection attempt. */
    boolean connectFailed;
    /** Time from which the next health-check attempt may be sent. */
    long healthCheckAtUs;

    long pauseUs;
    boolean healthCheckInFlight;

    void reset() {
        consecutiveFailures = 0;
        ejected = false;
    }
}
