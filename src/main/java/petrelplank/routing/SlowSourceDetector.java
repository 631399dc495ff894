package petrelplank.routing;

/**
 * Detects parents with a low transfer rate, which the time to the first byte does not show. A parent is slow if its
 * fills take too long for their size, and more than twice as long as those of the best other parent that is up and not
 * ejected. If all parents are slow, the cause lies elsewhere and none is reported.
 */
final class SlowSourceDetector {
    /** Ratio of fill time to transfer time above which a fill is too slow. */
    static final double MAX_SLOWNESS = 2;

    private static final double MIN_RATIO_TO_BEST_PEER = 2;
    /** Weight of a new sample in the moving average, for fills of at least {@code FULL_SAMPLE_US}. */
    private static final double SMOOTHING = 0.2;
    /** Fills with a shorter transfer time than this have a proportionally lower weight. */
    private static final double FULL_SAMPLE_US = 200_000;

    private final EndpointRegistry endpoints;

    SlowSourceDetector(EndpointRegistry endpoints) {
        this.endpoints = endpoints;
    }

    /** Returns the latency without the wait for the source, divided by the transfer time at a client's rate. */
    static double slowness(RequestState request, AttemptOutcome outcome) {
        return (outcome.latencyUs() - outcome.sourceWaitUs()) / request.transferUs;
    }

    /** Records a fill from a parent, and returns whether the parent is now too slow. */
    boolean recordFill(Endpoint parent, RequestState request, AttemptOutcome outcome) {
        double sampleWeight = SMOOTHING * Math.min(1, request.transferUs / FULL_SAMPLE_US);
        parent.fillSlowness += sampleWeight * (slowness(request, outcome) - parent.fillSlowness);
        double bestPeerSlowness = endpoints.parents().stream()
                .filter(peer -> peer != parent && peer.isUp() && !peer.ejection.ejected)
                .mapToDouble(peer -> peer.fillSlowness)
                .min()
                .orElse(Double.MAX_VALUE);
        return parent.fillSlowness > MAX_SLOWNESS && parent.fillSlowness > MIN_RATIO_TO_BEST_PEER * bestPeerSlowness;
    }
}
