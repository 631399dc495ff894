package petrelplank.proxy;

import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;

/**
 * How an attempt ended: a server's response, or the failure to get one.
 *
 * @param id the request's id
 * @param status how the attempt ended
 * @param notModified the client's own copy is current, and no bytes follow
 * @param tag the entity tag of the copy; null where none was sent
 * @param cacheStatus hit, fill or stale copy, where the server told
 * @param sourceWaitUs how long the server waited for the source
 * @param bornMs Unix millisecond at which the origin sent this copy out; 0 where unknown
 * @param load the load report, in the order of the settings; null where there is none
 * @param body the bytes
 */
public record UpstreamResponse(
        String id,
        AttemptStatus status,
        boolean notModified,
        String tag,
        CacheStatus cacheStatus,
        long sourceWaitUs,
        long bornMs,
        double[] load,
        byte[] body) {
    private static final byte[] NO_BODY = new byte[0];

    /**
     * The end of an attempt without a response.
     *
     * @param id the request's id
     * @param status how the attempt ended
     * @return the response that stands for it
     */
    public static UpstreamResponse ended(String id, AttemptStatus status) {
        return new UpstreamResponse(id, status, false, null, CacheStatus.NONE, 0, 0, null, NO_BODY);
    }
}
