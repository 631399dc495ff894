package petrelplank.proxy;

import java.util.ArrayList;
import java.util.List;
import petrelplank.routing.CacheStatus;

/**
 * An admitted request and its attempts. The exchange is finished once it is completed and its last attempt has ended.
 * Event thread only.
 */
final class Exchange {
    final ClientRequest request;
    /** The request's id, parsed from its hex digits. */
    final long requestId;

    /** The object's id, parsed from its hex digits. */
    final long objectId;

    final ResponseChannel channel;
    final long arrivedUs;
    final long deadlineUs;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Fails the exchange if it has no final response by its deadline. */
    Timer deadlineTimer;

    /** The cache status of the response that was served to the client. */
    CacheStatus servedCacheStatus = CacheStatus.NONE;

    private boolean completed;

    Exchange(ClientRequest request, ResponseChannel channel, long arrivedUs, long deadlineUs) {
        this.request = request;
        this.requestId = Long.parseUnsignedLong(request.id(), 16);
        this.objectId = Long.parseUnsignedLong(request.object(), 16);
        this.channel = channel;
        this.arrivedUs = arrivedUs;
        this.deadlineUs = deadlineUs;
    }

    /** Marks the exchange as completed: its final response is being sent, or the client has disconnected. */
    void markCompleted() {
        completed = true;
        deadlineTimer.cancel();
    }

    boolean isCompleted() {
        return completed;
    }

    /** Whether the exchange is completed and no attempt is in flight. */
    boolean isFinished() {
        return completed && attempts.stream().allMatch(Attempt::hasEnded);
    }
}
