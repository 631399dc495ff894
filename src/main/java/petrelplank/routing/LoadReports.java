package petrelplank.routing;

import petrelplank.routing.Endpoint.Role;

/**
 * Reads the load reports in responses: the requests in flight or, if those are not reported, the share of capacity in
 * use; and the utilization of the zone's link.
 */
final class LoadReports {
    private static final String IN_FLIGHT_FIELD = "concurrent";
    private static final String SHARE_USED_FIELD = "load_share";
    private static final String LINK_UTILIZATION_FIELD = "x1";
    private static final int NOT_REPORTED = -1;
    /** Share in use above which a cache counts as overloaded, because the share does not include queued requests. */
    private static final double OVERLOADED_SHARE = 0.9;

    private final ZoneLink zoneLink;
    private final int inFlightIndex;
    private final int shareUsedIndex;
    private final int linkUtilizationIndex;

    LoadReports(RouterSettings settings, ZoneLink zoneLink) {
        this.zoneLink = zoneLink;
        WeightMeaning weightMeaning = settings.weightMeaning();
        boolean weightIsCapacity = weightMeaning == WeightMeaning.NOMINAL || weightMeaning == WeightMeaning.ROUGH;
        this.inFlightIndex = weightIsCapacity ? settings.reportFields().indexOf(IN_FLIGHT_FIELD) : NOT_REPORTED;
        this.shareUsedIndex = weightIsCapacity && inFlightIndex < 0
                ? settings.reportFields().indexOf(SHARE_USED_FIELD)
                : NOT_REPORTED;
        this.linkUtilizationIndex = settings.reportFields().indexOf(LINK_UTILIZATION_FIELD);
    }

    /** Whether load reports include the requests in flight. */
    boolean includeInFlight() {
        return inFlightIndex >= 0;
    }

    /** Records a cache's load report, which is null if the response had none. */
    void record(Endpoint endpoint, double[] load) {
        if (load == null || endpoint.role != Role.LOCAL_CACHE) {
            return;
        }
        double inFlight = valueAt(load, inFlightIndex);
        if (shareUsedIndex >= 0 && shareUsedIndex < load.length) {
            double shareUsed = load[shareUsedIndex];
            inFlight =
                    (shareUsed > OVERLOADED_SHARE ? 2 * ReportedLoad.OVERLOAD_THRESHOLD : shareUsed) * endpoint.weight;
        }
        if (inFlight != endpoint.reportedLoad.inFlight) {
            endpoint.reportedLoad.inFlight = inFlight;
            endpoint.reportedLoad.ownInFlightAtReport = endpoint.limit.inFlight;
        }
        zoneLink.recordReport(valueAt(load, linkUtilizationIndex));
    }

    private static double valueAt(double[] load, int index) {
        return index >= 0 && index < load.length ? load[index] : NOT_REPORTED;
    }
}
