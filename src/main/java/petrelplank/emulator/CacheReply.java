package petrelplank.emulator;

import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;

/**
 * The reply to a {@link CacheRequest}.
 *
 * @param status how it ended
 * @param cacheStatus what the reply tells of the copy or the fill
 * @param sourceWaitUs time spent waiting for the fill source
 * @param createdUs when the origin sent the copy; 0 where there is none
 */
record CacheReply(AttemptStatus status, CacheStatus cacheStatus, long sourceWaitUs, long createdUs) {
    /** A reply without a copy. */
    static CacheReply withoutCopy(AttemptStatus status, CacheStatus cacheStatus) {
        return new CacheReply(status, cacheStatus, 0, 0);
    }

    static CacheReply ok(CacheStatus cacheStatus, long createdUs) {
        return new CacheReply(AttemptStatus.OK, cacheStatus, 0, createdUs);
    }

    boolean isOk() {
        return status == AttemptStatus.OK;
    }
}
