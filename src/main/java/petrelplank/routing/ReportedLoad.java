package petrelplank.routing;

/** The load that an endpoint last reported. */
final class ReportedLoad {
    /** Requests in flight per unit of weight, or link utilization, above which a late response is due to overload. */
    static final double OVERLOAD_THRESHOLD = 1.5;

    /** Requests in flight as last reported; -1 before the first report, and if reports do not include it. */
    double inFlight = -1;
    /**
     * This proxy's attempts in flight when the current value was first reported. Later responses repeat the value until
     * the endpoint measures it again, and do not change this count.
     */
    int ownInFlightAtReport;
}
