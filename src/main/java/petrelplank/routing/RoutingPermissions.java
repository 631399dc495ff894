package petrelplank.routing;

/**
 * What the platform allows the router to do, and how much of it.
 *
 * @param maxAttempts upper bound on attempts for one request
 * @param hedging two attempts of one request may be in flight together
 * @param cancel {@link Router.Actions#cancel} is allowed
 * @param healthChecks {@link Router.Actions#healthCheck} is allowed
 * @param gossip {@link Router.Actions#gossip} is allowed
 * @param retryAfter rejections may carry advice on when to retry
 * @param maxRetryAfterUs the longest such advice
 * @param coalescing requests may join a fill in progress
 * @param directToParents attempts may go to parents and the origin without a cache between
 * @param siblingFills which caches may be the source of a fill
 */
public record RoutingPermissions(
        int maxAttempts,
        boolean hedging,
        boolean cancel,
        boolean healthChecks,
        boolean gossip,
        boolean retryAfter,
        long maxRetryAfterUs,
        boolean coalescing,
        boolean directToParents,
        SiblingFillPolicy siblingFills) {
    /** Checks the values. */
    public RoutingPermissions {
        Checks.require(maxAttempts > 0, "attempts (must be above 0)", maxAttempts);
        Checks.require(maxRetryAfterUs >= 0, "maxRetryAfterUs (must be 0 or more)", maxRetryAfterUs);
        Checks.require(siblingFills != null, "siblings", siblingFills);
    }
}
