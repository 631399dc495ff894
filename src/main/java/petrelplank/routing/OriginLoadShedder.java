package petrelplank.routing;

/**
 * Sheds load from the origin when it is slow or rejects calls. The share of misses that may call the origin is halved
 * when too many calls fail, or wait so long that the calls queued behind them will fail. It doubles over time and with
 * each successful call. All other misses are served only from copies that parents hold. Writes are never shed.
 */
final class OriginLoadShedder {
    /** Ratio of all calls to successful ones above which the origin counts as overloaded. */
    private static final double OVERLOAD_RATIO = 1.5;
    /** Factor by which the share is multiplied on overload. */
    private static final double CUT_FACTOR = 0.5;

    private static final double MIN_SHARE = 0.02;

    private final double windowUs;
    private final RateLimitedLog log;
    private final DecayingRate allCalls = new DecayingRate();
    private final DecayingRate successfulCalls = new DecayingRate();
    private double share = 1;
    private long shareSetUs;

    /** Creates a shedder whose share doubles every half of {@code windowUs}. */
    OriginLoadShedder(double windowUs, RateLimitedLog log) {
        this.windowUs = windowUs;
        this.log = log;
    }

    /** Returns the share of misses that may call the origin now. */
    double currentShare(long now) {
        return share >= 1 ? 1 : Math.min(1, share * Math.pow(2, 2 * (now - shareSetUs) / windowUs));
    }

    boolean isShedding(long now) {
        return currentShare(now) < 1;
    }

    /** Whether the request belongs to the sample that may call the origin. */
    boolean isSampled(RequestState request, long now) {
        return request.samplingValue < currentShare(now);
    }

    /** Records a call of the origin that has ended or is late. */
    void recordCall(long now, boolean successful) {
        share = successful ? Math.min(1, share / CUT_FACTOR) : share;
        double rateWindowUs = windowUs / 2;
        double callRate = allCalls.add(now, 1, rateWindowUs);
        double successfulCallRate = successfulCalls.add(now, successful ? 1 : 0, rateWindowUs);
        // A single failed call does not start load shedding.
        double toleratedRate = isShedding(now) ? 0 : 1 / rateWindowUs;
        if (!successful && callRate - toleratedRate > OVERLOAD_RATIO * successfulCallRate) {
            share = Math.max(MIN_SHARE, currentShare(now) * CUT_FACTOR);
            shareSetUs = now;
            allCalls.clear();
            successfulCalls.clear();
            log.log(now, "origin overloaded: it is called for at most one miss in " + Math.round(1 / share));
        }
    }
}
