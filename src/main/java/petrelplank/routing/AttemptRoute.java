package petrelplank.routing;

/**
 * The route of the next attempt, or the reason why there is none.
 *
 * @param endpoint the endpoint that receives the attempt; null if there is no attempt
 * @param source the endpoint that a miss is filled from; the same as {@code endpoint} if there is none
 * @param fillMode what the cache may fetch from the source
 * @param rejection why there is no attempt; null if there is one
 */
record AttemptRoute(Endpoint endpoint, Endpoint source, FillMode fillMode, TerminationReason rejection) {
    static AttemptRoute to(Endpoint endpoint, Endpoint source, FillMode fillMode) {
        return new AttemptRoute(endpoint, source, fillMode, null);
    }

    static AttemptRoute rejected(TerminationReason reason) {
        return new AttemptRoute(null, null, FillMode.NONE, reason);
    }
}
