package petrelplank.proxy;

import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;

/**
 * The result of an attempt: a server's response, or the failure to get one.
 *
 * @param id the request's id
 * @param status how the attempt ended
 * @param notModified whether the copy that the client has is current, so that the response has no body
 * @param entityTag the entity tag of the copy; null if the server sent none
 * @param cacheStatus where the copy came from or why a fill failed, as far as the server reported it
 * @param sourceWaitUs how long the server waited for the fill source, in microseconds
 * @param originSentMs when the origin sent this copy, Unix time in milliseconds; 0 if unknown
 * @param load the values of the server's load report, in the order of the settings; null if there is none
 * @param bodyLength length of the body that the server sent, in bytes
 * @param body the body; empty if there is none, or if it was discarded for want of memory
 */
public record UpstreamResponse(
        String id,
        AttemptStatus status,
        boolean notModified,
        String entityTag,
        CacheStatus cacheStatus,
        long sourceWaitUs,
        long originSentMs,
        double[] load,
        int bodyLength,
        byte[] body) {
    private static final byte[] NO_BODY = new byte[0];

    /**
     * Creates the result of an attempt that ended without a response.
     *
     * @param id the request's id
     * @param status how the attempt ended
     * @return the result
     */
    public static UpstreamResponse ended(String id, AttemptStatus status) {
        return new UpstreamResponse(id, status, false, null, CacheStatus.NONE, 0, 0, null, 0, NO_BODY);
    }

    /**
     * Whether the body was discarded for want of memory, so that the response cannot be forwarded.
     *
     * @return true if the server sent a body that is not here
     */
    public boolean isBodyDiscarded() {
        return body.length < bodyLength;
    }
}
