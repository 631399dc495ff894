package petrelplank.routing;

/**
 * An attempt to send, with instructions to the endpoint for the case of a miss.
 *
 * @param server id of the endpoint that receives the attempt
 * @param source id of the endpoint that a miss is filled from; the same as {@code server} if there is none
 * @param rank rank that the copy gets in the cache, 1 to 3; 0 neither stores a copy nor changes an existing one
 * @param maxAgeUs maximum age of an acceptable copy; 0 if the service class alone limits it
 * @param coalesce whether a miss may join a fill in progress (request coalescing)
 * @param onlyIfCached whether the source serves only what it has cached
 * @param staleWhileRevalidate whether a stale copy may be served while the cache fetches a new one in the background
 * @param timeoutUs time-out of the attempt, above 0
 * @param sendWithinUs time within which the attempt may be written, at most {@code timeoutUs}; later it is withdrawn
 */
public record AttemptPlan(
        String server,
        String source,
        int rank,
        long maxAgeUs,
        boolean coalesce,
        boolean onlyIfCached,
        boolean staleWhileRevalidate,
        long timeoutUs,
        long sendWithinUs) {}
