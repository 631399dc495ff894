package petrelplank.routing;

/**
 * How many attempts may be in flight at once (AIMD): grows with each response in time while it is used, shrinks with
 * each late one. Several gateways share what it protects.
 */
final class ConcurrencyLimit {
    /** First limit, over all gateways that share it. */
    private static final double INITIAL = 32;

    private static final double MINIMUM = 4;
    /** Steps that keep about one response in twenty late. */
    private static final double DECREASE_FACTOR = 0.9;

    private static final double INCREASE = 0.05;

    private final double gateways;
    private double limit;
    /** It shrinks no further. */
    private double minimum;

    int inFlight;

    ConcurrencyLimit(double gateways) {
        this.gateways = gateways;
        this.limit = INITIAL / gateways;
        this.minimum = MINIMUM / gateways;
    }

    /** Sets what is known to fit over all gateways: it shrinks no further than that. */
    void setKnownCapacity(double capacity) {
        minimum = Math.max(MINIMUM, capacity) / gateways;
    }

    /**
     * Whether one more attempt of the request fits. The sampling key rounds a fractional limit; where many gateways
     * share it, one standard deviation more is allowed, so that chance alone rejects nothing.
     */
    boolean hasRoom(RequestState request) {
        double others = 1 - 1 / gateways;
        double share = request.limitShare;
        return inFlight + request.samplingKey < limit * share + others * others * Math.sqrt(limit * share);
    }

    /** An attempt under this limit ended, in time or late. */
    void adapt(boolean inTime) {
        if (!inTime) {
            limit = Math.max(minimum, limit * Math.pow(DECREASE_FACTOR, Math.sqrt(gateways)));
        } else if (inFlight >= Math.floor(limit / 2)) {
            limit += INCREASE / Math.sqrt(gateways);
        }
    }
}
