package petrelplank.routing;

/**
 * An adaptive limit on attempts in flight (additive increase, multiplicative decrease). It grows with each timely
 * response while at least half of it is in use, and shrinks with each late one. Several proxies share the protected
 * resource, so each has its part of the limit.
 */
final class ConcurrencyLimit {
    /** Initial limit, summed over all proxies that share the resource. */
    private static final double INITIAL_LIMIT = 32;

    private static final double MIN_LIMIT = 4;
    /** Together with {@code INCREASE_STEP}, this balances at about one late response in twenty. */
    private static final double DECREASE_FACTOR = 0.9;

    private static final double INCREASE_STEP = 0.05;

    private final double proxyCount;
    private double limit;
    /** The limit does not shrink below this. */
    private double minLimit;

    int inFlight;

    ConcurrencyLimit(double proxyCount) {
        this.proxyCount = proxyCount;
        this.limit = INITIAL_LIMIT / proxyCount;
        this.minLimit = MIN_LIMIT / proxyCount;
    }

    /** Sets the known capacity of the resource, shared by all proxies; the limit does not shrink below it. */
    void setKnownCapacity(double capacity) {
        minLimit = Math.max(MIN_LIMIT, capacity) / proxyCount;
    }

    /**
     * Whether one more attempt of the request fits. The request's sampling key rounds a fractional limit up or down at
     * random. If many proxies share the resource, one standard deviation is added, so that random variation in the
     * number of requests alone causes no rejections.
     */
    boolean hasRoom(RequestState request) {
        double otherProxiesFraction = 1 - 1 / proxyCount;
        double limitShare = request.limitShare;
        return inFlight + request.samplingValue
                < limit * limitShare + otherProxiesFraction * otherProxiesFraction * Math.sqrt(limit * limitShare);
    }

    /** Adjusts the limit after an attempt that was subject to it ended in time or late. */
    void adapt(boolean inTime) {
        if (!inTime) {
            limit = Math.max(minLimit, limit * Math.pow(DECREASE_FACTOR, Math.sqrt(proxyCount)));
        } else if (inFlight >= Math.floor(limit / 2)) {
            limit += INCREASE_STEP / Math.sqrt(proxyCount);
        }
    }
}
