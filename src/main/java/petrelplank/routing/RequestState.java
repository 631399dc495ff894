package petrelplank.routing;

import java.util.ArrayList;
import java.util.List;

/** The state of a request that has no final answer yet or still has attempts in flight. */
final class RequestState {
    /** Once this many attempts end with an error, the request itself is taken for the cause. */
    private static final int ERRORS_TO_BLAME_REQUEST = 3;

    final RoutingRequest clientRequest;
    final ServiceClass serviceClass;
    final int classIndex;
    /** Hash of the object and the part of it that is requested. */
    final long objectKey;
    /** Transfer time at a client's rate: from the size, or the mean of the class until a response tells the size. */
    double transferUs;
    /** Random number, uniform in 0 to 1, drawn once; decides on rejections and origin calls by share. */
    final double samplingValue;
    /** Share of the concurrency limits that the request may use, up to 1. */
    double limitShare = 1;
    /** Attempts by number; null for an attempt that has ended. */
    final List<AttemptState> attempts = new ArrayList<>(2);
    /** Endpoints that further attempts avoid, as receivers and as sources. */
    final List<Endpoint> excludedEndpoints = new ArrayList<>(2);
    /** Endpoints that answered with an error and no cache status, one entry for each such answer. */
    final List<Endpoint> endpointsWithErrors = new ArrayList<>(0);

    /** Number of attempts that were withdrawn; they count as never sent. */
    int withdrawnAttempts;
    /** Number of attempts in flight. */
    int inFlight;
    /** Whether the request has its final answer, or needs none. */
    boolean completed;

    OriginAccess originAccess = OriginAccess.UNRESTRICTED;
    /** Whether a stale copy is acceptable (stale-if-error). */
    boolean staleAllowed;
    /** Whether the request has used its one cache lookup without a full fill. */
    boolean cacheLookupDone;
    /** Whether the last selection skipped a cache because it is at its concurrency limit. */
    boolean cacheAtLimit;
    /** The attempt that counts as unresponsive; it no longer counts against the concurrency limits. */
    AttemptState unresponsiveAttempt;
    /** Whether another attempt was made because one was unresponsive. */
    boolean hedged;
    /** Whether the attempt in flight has been counted as a failed origin call because it is late. */
    boolean countedAsLateOriginCall;
    /** Whether an attempt without a successful response may have been executed. */
    boolean mayHaveExecuted;
    /** When the first attempt that may have been executed was sent. */
    long firstExecutionUs;

    RequestState(
            RoutingRequest request,
            ServiceClass serviceClass,
            int classIndex,
            double transferUs,
            double samplingValue) {
        this.clientRequest = request;
        this.serviceClass = serviceClass;
        this.classIndex = classIndex;
        this.objectKey = Hash.mix(request.object() ^ Hash.mix(request.part()));
        this.transferUs = transferUs;
        this.samplingValue = samplingValue;
    }

    /** Returns the latency objective, which grows with the transfer time up to the deadline of the service class. */
    double latencyObjectiveUs() {
        return Math.min(
                serviceClass.deadlineUs(),
                serviceClass.latencyObjectiveUs() + serviceClass.objectiveSizeFactor() * transferUs);
    }

    boolean isWrite() {
        return serviceClass.write();
    }

    /** Records an error; true if it is the one that shows the request itself to be the cause. */
    boolean recordError(Endpoint endpoint) {
        endpointsWithErrors.add(endpoint);
        return endpointsWithErrors.size() == ERRORS_TO_BLAME_REQUEST;
    }

    /** Whether so many attempts ended with an error that the request itself is taken for the cause. */
    boolean isCauseOfErrors() {
        return endpointsWithErrors.size() >= ERRORS_TO_BLAME_REQUEST;
    }
}
