package petrelplank.routing;

/** What the {@link OutlierDetector} keeps for an endpoint. */
final class EjectionState {
    /** Failures in a row. */
    int failures;

    boolean ejected;
    /** The last failure was that no connection was made. */
    boolean unreachable;
    /** When the next health-check attempt may go out. */
    long healthCheckAtUs;

    long pauseUs;
    boolean healthCheckInFlight;

    void reset() {
        failures = 0;
        ejected = false;
    }
}
