package petrelplank.routing;

/**
 * Where the next attempt goes, or why there is none.
 *
 * @param endpoint who is asked; null where there is none
 * @param source who supplies a miss; the endpoint itself for nobody
 * @param fillMode what may be fetched from the source
 * @param rejection why there is no attempt; null where there is one
 */
record AttemptRoute(Endpoint endpoint, Endpoint source, FillMode fillMode, TerminationReason rejection) {
    static AttemptRoute to(Endpoint endpoint, Endpoint source, FillMode fillMode) {
        return new AttemptRoute(endpoint, source, fillMode, null);
    }

    static AttemptRoute rejected(TerminationReason reason) {
        return new AttemptRoute(null, null, FillMode.NONE, reason);
    }
}
