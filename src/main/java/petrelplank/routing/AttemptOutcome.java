package petrelplank.routing;

/**
 * How an attempt ended.
 *
 * @param request the request's id
 * @param attempt the attempt's number, from 0
 * @param status how it ended
 * @param latencyUs time since it was sent
 * @param completed the request has its final answer
 * @param cacheStatus what the response tells of the copy or the fill
 * @param sourceWaitUs time to the source's first byte or failure; 0 where it is not known
 * @param load the endpoint's load report; null where there is none
 * @param sizeKb size of the response; 0 where it is not known
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
