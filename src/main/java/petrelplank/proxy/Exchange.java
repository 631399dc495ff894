package petrelplank.proxy;

import java.util.ArrayList;
import java.util.List;
import petrelplank.routing.CacheStatus;

/** An admitted request with its attempts, until it is completed and its last attempt has ended. Event thread only. */
final class Exchange {
    final ClientRequest request;
    /** The request's id as a number. */
    final long requestId;

    /** The object as a number. */
    final long object;

    final ResponseChannel channel;
    final long arrivedUs;
    final long deadlineUs;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Completes the exchange at its deadline, if nothing else has. */
    EventLoop.Timer deadlineTimer;

    /** Cache status of the copy that was served. */
    CacheStatus servedFrom = CacheStatus.NONE;

    private boolean completed;

    Exchange(ClientRequest request, ResponseChannel channel, long arrivedUs, long deadlineUs) {
        this.request = request;
        this.requestId = Long.parseUnsignedLong(request.id(), 16);
        this.object = Long.parseUnsignedLong(request.object(), 16);
        this.channel = channel;
        this.arrivedUs = arrivedUs;
        this.deadlineUs = deadlineUs;
    }

    /** No final response is owed any more: it is on its way, or the client has disconnected. */
    void complete() {
        completed = true;
        deadlineTimer.cancel();
    }

    boolean isCompleted() {
        return completed;
    }

    /** Whether it is completed and no attempt is under way. */
    boolean isFinished() {
        return completed && attempts.stream().allMatch(Attempt::hasEnded);
    }
}
