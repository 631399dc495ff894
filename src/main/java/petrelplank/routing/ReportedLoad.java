package petrelplank.routing;

/** What an endpoint last reported of its load. */
final class ReportedLoad {
    /** Requests in flight per unit of weight, and link use, above which a late response is taken for overload. */
    static final double OVERLOAD = 1.5;

    /** Requests in flight as last reported; -1 before, and where it is not reported. */
    double inFlight = -1;
    /** Own attempts in flight when that report first came; later responses repeat it until it is refreshed. */
    int ownInFlightAtReport;
}
