package petrelplank.routing;

import java.util.ArrayList;
import java.util.List;

/** A request that is not completed, or has attempts in flight. */
final class RequestState {
    /** Errors from so many endpoints are the request's own fault. */
    private static final int ERRORS_OF_ITS_OWN = 3;

    final RoutingRequest request;
    final ServiceClass serviceClass;
    final int classIndex;
    /** The object's part, hashed. */
    final long key;
    /** Transfer time at a client's pace: from the size, or the class's mean until a response tells the size. */
    double transferUs;
    /** Drawn once, evenly from 0 to 1: rejections and calls of the origin by share go by it. */
    final double samplingKey;
    /** Part of the limits that it may use. */
    double limitShare = 1;
    /** By attempt number; null once an attempt has ended. */
    final List<AttemptState> attempts = new ArrayList<>(2);
    /** Endpoints that it shall pass by. */
    final List<Endpoint> excluded = new ArrayList<>(2);
    /** Endpoints that answered with an error and no cache status. */
    final List<Endpoint> errored = new ArrayList<>(0);

    int inFlight;
    /** It has its final answer, or needs none. */
    boolean completed;

    OriginAccess originAccess = OriginAccess.UNRESTRICTED;
    /** A copy past its fresh time will do (stale-if-error). */
    boolean staleAllowed;
    /** It has had its one lookup in a cache without a fill. */
    boolean cacheLookupDone;
    /** A cache was passed by since it is at its limit. */
    boolean cacheAtLimit;
    /** The attempt that counts as unresponsive; it holds no place under the limits. */
    AttemptState unresponsiveAttempt;
    /** A further attempt was made since one was unresponsive. */
    boolean hedged;
    /** Its attempt's lateness has counted as a failed call of the origin. */
    boolean latenessCounted;
    /** An attempt may have run at the server. */
    boolean mayHaveExecuted;
    /** When the first attempt that may have run was sent. */
    long firstExecutionUs;

    RequestState(
            RoutingRequest request, ServiceClass serviceClass, int classIndex, double transferUs, double samplingKey) {
        this.request = request;
        this.serviceClass = serviceClass;
        this.classIndex = classIndex;
        this.key = Hash.mix(request.object() ^ Hash.mix(request.part()));
        this.transferUs = transferUs;
        this.samplingKey = samplingKey;
    }

    /** The latency objective, which grows with the transfer time. */
    double latencyObjectiveUs() {
        return Math.min(
                serviceClass.deadlineUs(),
                serviceClass.latencyObjectiveUs() + serviceClass.objectiveSizeFactor() * transferUs);
    }

    boolean isWrite() {
        return serviceClass.write();
    }

    /** Notes an error; whether it is the one that shows the fault to be the request's own. */
    boolean recordError(Endpoint endpoint) {
        errored.add(endpoint);
        return errored.size() == ERRORS_OF_ITS_OWN;
    }

    boolean isAtFaultItself() {
        return errored.size() >= ERRORS_OF_ITS_OWN;
    }
}
