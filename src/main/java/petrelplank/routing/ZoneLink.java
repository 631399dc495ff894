package petrelplank.routing;

/** The network link into this proxy's zone: its use as caches report it, and the rate of this proxy's fills over it. */
final class ZoneLink {
    /** Link use below which the link cannot be the cause of late fills. */
    private static final double LOW_USE = 0.5;

    private static final double UNKNOWN = -1;

    private final DecayingRate fills = new DecayingRate();
    private final double windowUs;
    private final double zoneGateways;
    /** Capacity of the link in concurrent transfers at full rate; 0 if unknown. */
    private final double capacity;
    /** Transfers on the link divided by its capacity, as last reported; negative if unknown. */
    private double reportedUse = UNKNOWN;

    ZoneLink(RouterSettings settings, double windowUs) {
        this.windowUs = windowUs;
        this.zoneGateways = settings.zoneGatewayCount();
        int zone = settings.zones().indexOf(settings.zone());
        boolean known = zone < settings.zoneLinkKbPerSecond().size() && settings.flowKbPerSecond() > 0;
        this.capacity = known ? settings.zoneLinkKbPerSecond().get(zone) / settings.flowKbPerSecond() : 0;
    }

    /** Records the link use from a response's load report; negative if it was not reported. */
    void report(double use) {
        reportedUse = use;
    }

    /** Returns the last reported use; negative if unknown. */
    double reportedUse() {
        return reportedUse;
    }

    boolean isReported() {
        return reportedUse >= 0;
    }

    /** Whether the last report showed spare capacity on the link. */
    boolean hasReportedRoom() {
        return reportedUse >= 0 && reportedUse < 1;
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
    boolean isLittleUsed(long now) {
        return fillRate(now) * zoneGateways < LOW_USE * capacity;
    }
}
