package petrelplank.routing;

/**
 * Detects parents that send slowly, which first-byte time hides: a parent's fills take, for their size, longer than
 * late ones may and twice as long as the best ready peer's; if all are slow, the fault is another's.
 */
final class SlowSourceDetector {
    /** Fill time over transfer time above which a fill is too slow. */
    static final double TOO_SLOW = 2;

    private static final double SLOWER_THAN_BEST_PEER = 2;
    /** Weight of a new sample in the mean, for large fills. */
    private static final double SMOOTHING = 0.2;
    /** Fills of this transfer time or more count in full. */
    private static final double FULL_SAMPLE_US = 200_000;

    private final EndpointRegistry endpoints;

    SlowSourceDetector(EndpointRegistry endpoints) {
        this.endpoints = endpoints;
    }

    /** How much longer than at a client's pace the bytes took to come. */
    static double slowness(RequestState request, AttemptOutcome outcome) {
        return (outcome.latencyUs() - outcome.sourceWaitUs()) / request.transferUs;
    }

    /** Takes in a fill from a parent; whether the parent is too slow now. */
    boolean recordFill(Endpoint parent, RequestState request, AttemptOutcome outcome) {
        double sampleWeight = SMOOTHING * Math.min(1, request.transferUs / FULL_SAMPLE_US);
        parent.fillSlowness += sampleWeight * (slowness(request, outcome) - parent.fillSlowness);
        double best = endpoints.parents().stream()
                .filter(peer -> peer != parent && peer.isUp() && !peer.ejection.ejected)
                .mapToDouble(peer -> peer.fillSlowness)
                .min()
                .orElse(Double.MAX_VALUE);
        return parent.fillSlowness > TOO_SLOW && parent.fillSlowness > SLOWER_THAN_BEST_PEER * best;
    }
}
