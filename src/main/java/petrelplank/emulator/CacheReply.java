package petrelplank.emulator;

import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;

/**
 * The reply to a {@link CacheRequest}.
 *
 * @param status outcome of the request
 * @param cacheStatus whether the object came from a stored copy or a fill, or why a fill failed
 * @param sourceWaitUs time spent waiting for the fill source
 * @param createdUs when the origin sent the copy, or 0 if the reply carries none
 */
record CacheReply(AttemptStatus status, CacheStatus cacheStatus, long sourceWaitUs, long createdUs) {
    /** Returns a reply that carries no copy. */
    static CacheReply withoutCopy(AttemptStatus status, CacheStatus cacheStatus) {
        return new CacheReply(status, cacheStatus, 0, 0);
    }

    /** Returns a successful reply that did not wait for a fill source. */
    static CacheReply ok(CacheStatus cacheStatus, long createdUs) {
        return new CacheReply(AttemptStatus.OK, cacheStatus, 0, createdUs);
    }

    boolean isOk() {
        return status == AttemptStatus.OK;
    }
}
