package petrelplank.routing;

/**
 * What the platform allows the router to do, and the limits that it sets.
 *
 * @param maxAttempts maximum number of attempts for one request
 * @param hedging whether several attempts of one request may be in flight at the same time
 * @param cancel whether {@link Router.Actions#cancel} is allowed
 * @param healthChecks whether {@link Router.Actions#healthCheck} is allowed
 * @param gossip whether {@link Router.Actions#gossip} is allowed
 * @param retryAfter whether rejections may carry advice on when to retry
 * @param maxRetryAfterUs the longest time that such advice may name
 * @param coalescing whether requests may join a fill in progress
 * @param directToParents whether attempts may go directly to parents and the origin, without a cache in between
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
    /** Validates the values. */
    public RoutingPermissions {
        SettingChecks.require(maxAttempts > 0, "try-limit (must be above 0)", maxAttempts);
        SettingChecks.require(maxRetryAfterUs >= 0, "max-retry-after-us (must be 0 or more)", maxRetryAfterUs);
        SettingChecks.require(siblingFills != null, "neighbours (must not be null)", siblingFills);
    }
}
