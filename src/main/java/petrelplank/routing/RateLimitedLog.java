package petrelplank.routing;

/** Log lines for the operators, at most one in each interval: faults come in bursts, and one line tells of them. */
final class RateLimitedLog {
    private final Router.Actions actions;
    private final double intervalUs;
    private long lastLineUs = Long.MIN_VALUE / 2;

    RateLimitedLog(Router.Actions actions, double intervalUs) {
        this.actions = actions;
        this.intervalUs = intervalUs;
    }

    /** Writes the line, or drops it where the last one is too recent. */
    void log(long now, String line) {
        if (now - lastLineUs > intervalUs) {
            lastLineUs = now;
            actions.log(line);
        }
    }
}
