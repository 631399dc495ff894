package petrelplank.routing;

/** A listed server with what this gateway knows of it: notes of the decision module, no decisions. */
final class Endpoint {
    enum Role {
        EDGE,
        PARENT,
        ORIGIN,
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
    /** Failures in a row. */
    int failures;

    boolean ejected;
    /** Its last failure was that no connection was made. */
    boolean unreached;

    long trialAtUs;
    long pauseUs;
    boolean trialOut;
    /** When attempts at it were last reset. */
    long brokenUs;
    /** When it last answered an attempt of this gateway. */
    long heardUs;

    double outWorkUs;
    /** Requests in hand as last reported; -1 before, and where it is not told. */
    double inHand = -1;
    /** Our attempts out when that report first came; later answers repeat it until it is refreshed. */
    int outAtReport;

    final RequestRouter.Limit limit;
    /** Fill time over sending time of late, for parents. */
    double stretch = 1;
    /** Q by object group, and whether the group has heard of this parent. */
    final double[] q;

    final boolean[] heard;
    /** Cold budget left, in sending time; below 0 where more was sent than it held. */
    double tokensUs;
    /** When it was last filled; 0 before its first use. */
    long tokensAtUs;

    final DecayingRate sent = new DecayingRate();
    /** Rendezvous score for the request in hand; the least comes first. */
    double score;

    Endpoint(String id, RequestRouter.Limit limit, int groups) {
        this.id = id;
        this.hash = Hash.mix(Hash.fnv(id));
        this.limit = limit;
        this.q = new double[groups];
        this.heard = new boolean[groups];
    }

    /** Whether its last load report tells of room for more. */
    boolean hasReportedRoom() {
        return inHand >= 0 && inHand < RequestRouter.BUSY * weight;
    }
}
