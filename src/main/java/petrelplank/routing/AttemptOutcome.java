package petrelplank.routing;

/**
 * The outcome of one attempt.
 *
 * @param request id of the request
 * @param attempt number of the attempt within the request, from 0
 * @param status how the attempt ended
 * @param latencyUs time since the attempt was sent
 * @param completed whether this outcome is the final answer to the request
 * @param cacheStatus what the response reports about the cached copy or the fill
 * @param sourceWaitUs time until the source's first byte or failure; 0 if unknown
 * @param load load report of the endpoint, in the order of {@link RouterSettings#reportFields}; null if there is none
 * @param sizeKb size of the response; 0 if unknown
 */
public record AttemptOutcome(
        String request,
        int attempt,
        AttemptStatus status,
        long latencyUs,
        boolean completed,
        CacheStatus cacheStatus,
        long sourceWaitUs,
        double[] load,
        double sizeKb) {}
