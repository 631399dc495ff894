package petrelplank.routing;

/**
 * Exponential backoff between the health-check attempts of an ejected endpoint: the pause doubles with each failed
 * attempt, up to a maximum.
 */
final class EjectionBackoff {
    private static final double FIRST_PAUSE_IN_CONNECT_TIMEOUTS = 2;
    private static final double MAX_PAUSE_IN_CONNECT_TIMEOUTS = 16;

    private final double firstPauseUs;

    EjectionBackoff(long connectTimeoutUs) {
        this.firstPauseUs = FIRST_PAUSE_IN_CONNECT_TIMEOUTS * Math.max(1, connectTimeoutUs);
    }

    long firstPauseUs() {
        return (long) firstPauseUs;
    }

    long nextPauseUs(long pauseUs) {
        double maxPauseUs = MAX_PAUSE_IN_CONNECT_TIMEOUTS * firstPauseUs / FIRST_PAUSE_IN_CONNECT_TIMEOUTS;
        return (long) Math.min(2 * pauseUs, maxPauseUs);
    }
}
