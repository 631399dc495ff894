package petrelplank.routing;

/**
 * An attempt to send, with what the endpoint is asked to do on a miss.
 *
 * @param server the endpoint that is asked
 * @param source the endpoint that a miss is filled from; the server itself for none
 * @param rank rank of the copy in the cache, 1 to 3; 0 caches nothing and changes nothing
 * @param maxAgeUs age of the oldest acceptable copy; 0 for the class's own limit
 * @param coalesce join a fill in progress (request coalescing)
 * @param onlyIfCached the source serves only what it has cached
 * @param staleWhileRevalidate a copy past its fresh time is served, and fetched anew in the background
 * @param timeoutUs the attempt's time-out, more than 0
 */
public record AttemptPlan(
        String server,
        String source,
        int rank,
        long maxAgeUs,
        boolean coalesce,
        boolean onlyIfCached,
        boolean staleWhileRevalidate,
        long timeoutUs) {}
