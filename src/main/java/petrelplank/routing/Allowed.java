package petrelplank.routing;

/**
 * What may be done, and how much.
 *
 * @param attempts most attempts for one request
 * @param secondCopies two attempts of one request may be out together
 * @param cancel {@link Router.Actions#cancel} is allowed
 * @param probes {@link Router.Actions#probe} is allowed
 * @param messages {@link Router.Actions#tell} is allowed
 * @param retryAfter clients are told when to come back
 * @param maxRetryAfterUs the longest time that clients follow
 * @param joins fills under way may be joined
 * @param direct parents and the origin take attempts too
 * @param siblings caches that may be a source
 */
public record Allowed(
        int attempts,
        boolean secondCopies,
        boolean cancel,
        boolean probes,
        boolean messages,
        boolean retryAfter,
        long maxRetryAfterUs,
        boolean joins,
        boolean direct,
        Siblings siblings) {
    /** Checks the figures. */
    public Allowed {
        Checks.require(attempts > 0, "attempts (must be above 0)", attempts);
        Checks.require(maxRetryAfterUs >= 0, "maxRetryAfterUs (must be 0 or more)", maxRetryAfterUs);
        Checks.require(siblings != null, "siblings", siblings);
    }
}
