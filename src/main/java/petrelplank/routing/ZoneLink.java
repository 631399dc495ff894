package petrelplank.routing;

/** The link into this gateway's zone: its use as caches report it, and the rate of this gateway's fills over it. */
final class ZoneLink {
    /** Link use below which late fills are not the link's fault. */
    private static final double LOW_USE = 0.5;

    private static final double UNKNOWN = -1;

    private final DecayingRate fills = new DecayingRate();
    private final double windowUs;
    private final double zoneGateways;
    /** Transfers at full pace that fit into it; 0 where that is not known. */
    private final double capacity;
    /** Transfers over those that fit at full pace, as last reported; below 0 where that is unknown. */
    private double reportedUse = UNKNOWN;

    ZoneLink(RouterSettings settings, double windowUs) {
        this.windowUs = windowUs;
        this.zoneGateways = settings.zoneGatewayCount();
        int zone = settings.zones().indexOf(settings.zone());
        boolean known = zone < settings.zoneLinkKbPerSecond().size() && settings.flowKbPerSecond() > 0;
        this.capacity = known ? settings.zoneLinkKbPerSecond().get(zone) / settings.flowKbPerSecond() : 0;
    }

    /** A response reported the link's use; below 0 where it did not. */
    void report(double use) {
        reportedUse = use;
    }

    /** The reported use; below 0 where it is not known. */
    double reportedUse() {
        return reportedUse;
    }

    boolean isReported() {
        return reportedUse >= 0;
    }

    /** Whether the link was last reported to have room for more fills. */
    boolean hasReportedRoom() {
        return reportedUse >= 0 && reportedUse < 1;
    }

    /** A fill of so much transfer time came over the link. */
    void recordFill(long now, double transferUs) {
        fills.add(now, transferUs, windowUs);
    }

    /** Transfer time of this gateway's fills per unit of time. */
    double fillRate(long now) {
        return fills.read(now, windowUs);
    }

    /** Whether the fills of all the zone's gateways, taken to be like this one's, leave the link mostly unused. */
    boolean isLittleUsed(long now) {
        return fillRate(now) * zoneGateways < LOW_USE * capacity;
    }
}
