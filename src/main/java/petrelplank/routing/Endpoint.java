package petrelplank.routing;

/** A listed server, and the state that each concern keeps for it. */
final class Endpoint {
    /** What an endpoint is to this gateway. */
    enum Role {
        /** A cache of this gateway's zone: it takes requests. */
        EDGE,
        /** A cache that others fill their misses from. */
        PARENT,
        /** The origin. */
        ORIGIN,
        /** A cache of another zone. */
        OTHER
    }

    final String id;
    final long hash;
    Role role;
    /** Steps along the ring of hubs from this gateway's hub. */
    int hubDistance;

    EndpointState state;
    double weight;
    long startedUs;
    /** When it last answered an attempt of this gateway. */
    long lastResponseUs;
    /** When attempts at it were last reset. */
    long lastResetUs;
    /** Transfer time of this gateway's attempts in flight at it. */
    double inFlightTransferUs;
    /** Rendezvous score for the request at hand; the least comes first. */
    double rendezvousScore;
    /** Recent fill time over transfer time, for parents. */
    double fillSlowness = 1;

    final ConcurrencyLimit limit;
    final EjectionState ejection = new EjectionState();
    final ReportedLoad reportedLoad = new ReportedLoad();
    final QTable qTable = new QTable();
    final TokenBucket slowStartBucket = new TokenBucket();
    final DecayingRate sentRate = new DecayingRate();

    Endpoint(String id, ConcurrencyLimit limit) {
        this.id = id;
        this.hash = Hash.mix(Hash.fnv(id));
        this.limit = limit;
    }

    /** It runs anew: what was known of the process that ran before counts no longer. */
    void restarted(long atUs) {
        startedUs = atUs;
        slowStartBucket.reset();
        ejection.reset();
        fillSlowness = 1;
    }

    boolean isUp() {
        return state == EndpointState.UP;
    }

    /** Whether its last load report tells of room for more. */
    boolean hasReportedRoom() {
        return reportedLoad.inFlight >= 0 && reportedLoad.inFlight < ReportedLoad.OVERLOAD * weight;
    }

    /** Whether the last report, and what was sent since, show room: limits lag, and gateways come and go. */
    boolean hasRoomSinceReport() {
        return reportedLoad.inFlight >= 0
                && reportedLoad.inFlight + Math.max(0, limit.inFlight - reportedLoad.ownInFlightAtReport) < weight;
    }
}
