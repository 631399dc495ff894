package petrelplank.routing;

/** Writes log lines for operators, at most one per interval: faults come in bursts, and one line reports a burst. */
final class RateLimitedLog {
    private final Router.Actions actions;
    private final double intervalUs;
    private long lastLineUs = Long.MIN_VALUE / 2;

    RateLimitedLog(Router.Actions actions, double intervalUs) {
        this.actions = actions;
        this.intervalUs = intervalUs;
    }

    /** Writes the line, or drops it if the interval since the last line has not passed. */
    void log(long now, String line) {
        if (now - lastLineUs > intervalUs) {
            lastLineUs = now;
            actions.log(line);
        }
    }
}
