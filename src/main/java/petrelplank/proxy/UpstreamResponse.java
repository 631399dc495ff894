package petrelplank.proxy;

import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;

/**
 * How a server answered.
 *
 * @param id the request's id
 * @param status how the attempt ended
 * @param notModified the client's copy is the one, and there are no bytes
 * @param tag the tag of the copy that it is about; null where none is told
 * @param cacheStatus what is told of the copy or the fill
 * @param sourceWaitUs time waited for the source
 * @param bornMs Unix millisecond at which the origin gave this copy out; 0 where it is not told
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
    private static final byte[] NOTHING = new byte[0];

    /**
     * An end that no server worded.
     *
     * @param id the request's id
     * @param status how the attempt ended
     * @return the answer
     */
    public static UpstreamResponse ended(String id, AttemptStatus status) {
        return new UpstreamResponse(id, status, false, null, CacheStatus.NONE, 0, 0, null, NOTHING);
    }
}
