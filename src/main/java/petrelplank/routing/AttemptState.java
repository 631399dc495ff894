package petrelplank.routing;

/** One attempt in flight. */
final class AttemptState {
    final Endpoint endpoint;
    /** Who supplies a miss; the endpoint itself for nobody. */
    final Endpoint source;

    final FillMode fillMode;
    final long sentUs;
    final double transferUs;
    /** It is the health-check attempt of an ejected endpoint or source. */
    final boolean healthCheck;

    AttemptState(AttemptRoute route, long sentUs, double transferUs, boolean healthCheck) {
        this.endpoint = route.endpoint();
        this.source = route.source();
        this.fillMode = route.fillMode();
        this.sentUs = sentUs;
        this.transferUs = transferUs;
        this.healthCheck = healthCheck;
    }

    /** Whether it may make a fill that counts under the limit of fills. */
    boolean isFill() {
        return fillMode == FillMode.FULL;
    }
}
