package petrelplank.routing;

/**
 * The network link into this proxy's zone: its utilization as reported by caches, and the rate of this proxy's fills
 * over it.
 */
final class ZoneLink {
    /** Link utilization below which the link cannot be the cause of late fills. */
    private static final double LOW_UTILIZATION = 0.5;

    private static final double UNKNOWN = -1;

    private final DecayingRate fills = new DecayingRate();
    private final double windowUs;
    private final double zoneProxyCount;
    /** Capacity of the link in concurrent transfers at full rate; 0 if unknown. */
    private final double capacityTransfers;
    /** Transfers on the link divided by its capacity, as last reported; negative if unknown. */
    private double reportedUtilization = UNKNOWN;

    ZoneLink(RouterSettings settings, double windowUs) {
        this.windowUs = windowUs;
        this.zoneProxyCount = settings.zoneProxyCount();
        int zoneIndex = settings.zones().indexOf(settings.zone());
        boolean capacityKnown =
                zoneIndex < settings.linkKbPerSecondByZone().size() && settings.maxResponseKbPerSecond() > 0;
        this.capacityTransfers =
                capacityKnown ? settings.linkKbPerSecondByZone().get(zoneIndex) / settings.maxResponseKbPerSecond() : 0;
    }

    /** Records the link utilization from a response's load report; negative if it was not reported. */
    void recordReport(double utilization) {
        reportedUtilization = utilization;
    }

    /** Returns the last reported utilization; negative if unknown. */
    double reportedUtilization() {
        return reportedUtilization;
    }

    boolean isUtilizationReported() {
        return reportedUtilization >= 0;
    }

    /** Whether the last report showed spare capacity on the link. */
    boolean hasReportedSpareCapacity() {
        return reportedUtilization >= 0 && reportedUtilization < 1;
    }

    /** Records a fill that came over the link. */
    void recordFill(long now, double transferUs) {
        fills.add(now, transferUs, windowUs);
    }

    /** Returns the transfer time of this proxy's fills per unit of time, which is their mean concurrency. */
    double fillRate(long now) {
        return fills.read(now, windowUs);
    }

    /** Whether the link is mostly unused, assuming that all proxies in the zone fill at the same rate as this one. */
    boolean isMostlyUnused(long now) {
        return fillRate(now) * zoneProxyCount < LOW_UTILIZATION * capacityTransfers;
    }
}
