package petrelplank.routing;

/** An attempt in flight. */
final class AttemptState {
    final Endpoint endpoint;
    /** The endpoint that a miss is filled from; the same as {@code endpoint} if there is none. */
    final Endpoint source;

    final FillMode fillMode;
    final long sentUs;
    /** Expected transfer time of the response, as estimated when the attempt was sent. */
    final double transferUs;
    /** Whether this attempt is the health check of an ejected endpoint or source. */
    final boolean healthCheck;

    AttemptState(AttemptRoute route, long sentUs, double transferUs, boolean healthCheck) {
        this.endpoint = route.endpoint();
        this.source = route.source();
        this.fillMode = route.fillMode();
        this.sentUs = sentUs;
        this.transferUs = transferUs;
        this.healthCheck = healthCheck;
    }

    /** Whether the attempt may cause a full fill, which counts against the concurrency limit of fills. */
    boolean isFill() {
        return fillMode == FillMode.FULL;
    }
}
