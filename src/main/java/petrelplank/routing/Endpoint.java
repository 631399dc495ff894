package petrelplank.routing;

/** A server in the list of the discovery service, with the state that the routing classes keep for it. */
final class Endpoint {
    /** The role of an endpoint from the point of view of this proxy. */
    enum Role {
        /** A cache in this proxy's zone; this proxy sends it requests. */
        LOCAL_CACHE,
        /** A cache that other caches fill their misses from. */
        PARENT,
        /** The origin. */
        ORIGIN,
        /** A cache in another zone. */
        OTHER
    }

    final String id;
    final long hash;
    Role role;
    /** Steps along the ring of hubs from this proxy's zone's hub to the hub of the endpoint's zone; 0 if unknown. */
    int hubDistance;

    EndpointState state;
    /** The weight in the list, whose meaning {@link WeightMeaning} tells; 1 if weights have no meaning. */
    double weight;
    /** Start time of its process; 0 if unknown. */
    long startedUs;
    /** Time of its last response to an attempt of this proxy. */
    long lastResponseUs;
    /** Time at which a connection to it was last reset. */
    long lastResetUs;
    /** Sum of the transfer times of this proxy's attempts in flight at it. */
    double inFlightTransferUs;
    /** Rendezvous score for the current request; the endpoint with the lowest score comes first. */
    double rendezvousScore;
    /** Moving average of fill time divided by transfer time; for parents only. */
    double fillSlowness = 1;

    final ConcurrencyLimit limit;
    final EjectionState ejection = new EjectionState();
    final ReportedLoad reportedLoad = new ReportedLoad();
    /** For parents: the learned value of filling from this endpoint, for each object group. */
    final QTable qTable = new QTable();

    final TokenBucket slowStartBucket = new TokenBucket();
    final DecayingRate sentTransferRate = new DecayingRate();

    Endpoint(String id, ConcurrencyLimit limit) {
        this.id = id;
        this.hash = Hash.mix(Hash.fnv1a(id));
        this.limit = limit;
    }

    /** Discards ejection, slow-start budget and fill slowness of the previous process after a restart. */
    void resetAfterRestart(long newStartedUs) {
        startedUs = newStartedUs;
        slowStartBucket.reset();
        ejection.reset();
        fillSlowness = 1;
    }

    boolean isUp() {
        return state == EndpointState.UP;
    }

    /** Whether its last load report, if any, is below the overload threshold. */
    boolean hasReportedSpareCapacity() {
        return reportedLoad.inFlight >= 0 && reportedLoad.inFlight < ReportedLoad.OVERLOAD_THRESHOLD * weight;
    }

    /**
     * Whether the last load report, plus the attempts sent since, shows spare capacity. Callers then send beyond
     * the concurrency limit, since limits adapt too slowly when proxies start or stop.
     */
    boolean hasEstimatedSpareCapacity() {
        return reportedLoad.inFlight >= 0
                && reportedLoad.inFlight + Math.max(0, limit.inFlight - reportedLoad.ownInFlightAtReport) < weight;
    }
}
