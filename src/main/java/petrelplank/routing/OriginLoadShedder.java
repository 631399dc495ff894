package petrelplank.routing;

/**
 * Protects the origin when it is slow or rejects calls: while calls go badly, or wait so long that those behind them
 * will, the share of misses that may call it is cut; it doubles with time and with each call served well. The rest
 * takes what parents hold; writes go on.
 */
final class OriginLoadShedder {
    /** Calls over those served well above which the origin is overloaded. */
    private static final double OVERLOAD_RATIO = 1.5;
    /** What a cut leaves of the share. */
    private static final double CUT_FACTOR = 0.5;

    private static final double MIN_SHARE = 0.02;

    private final double windowUs;
    private final RateLimitedLog log;
    private final DecayingRate calls = new DecayingRate();
    private final DecayingRate served = new DecayingRate();
    private double share = 1;
    private long shareSetUs;

    /** A shedder whose share doubles in half the {@code windowUs}. */
    OriginLoadShedder(double windowUs, RateLimitedLog log) {
        this.windowUs = windowUs;
        this.log = log;
    }

    /** The share of misses that may call the origin now. */
    double share(long now) {
        return share >= 1 ? 1 : Math.min(1, share * Math.pow(2, 2 * (now - shareSetUs) / windowUs));
    }

    boolean isShedding(long now) {
        return share(now) < 1;
    }

    /** Whether the request is among those that may call the origin. */
    boolean isSampled(RequestState request, long now) {
        return request.samplingKey < share(now);
    }

    /** A call of the origin ended, or is late. */
    void recordCall(long now, boolean servedWell) {
        share = servedWell ? Math.min(1, share / CUT_FACTOR) : share;
        double rateWindowUs = windowUs / 2;
        double callRate = calls.add(now, 1, rateWindowUs);
        double servedRate = served.add(now, servedWell ? 1 : 0, rateWindowUs);
        double benefitOfDoubt = isShedding(now) ? 0 : 1 / rateWindowUs;
        if (!servedWell && callRate - benefitOfDoubt > OVERLOAD_RATIO * servedRate) {
            share = Math.max(MIN_SHARE, share(now) * CUT_FACTOR);
            shareSetUs = now;
            calls.clear();
            served.clear();
            log.log(now, "origin overloaded: called for one miss in " + Math.round(1 / share));
        }
    }
}
