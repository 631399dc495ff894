package petrelplank.record;

import java.util.List;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;
import petrelplank.routing.TerminationReason;

/**
 * An event in a proxy, recorded with what the proxy knew at the time. The schema of record files is derived from these
 * types, in the order of {@link StoredEventOrder}, so the meaning of a component never changes.
 * Times are in Unix microseconds and durations in microseconds, unless the name gives another unit. A request is
 * identified by its id, 16 hex digits that are stored as a number.
 */
public sealed interface Event {
    /**
     * A new incarnation of a proxy started.
     *
     * @param zone the proxy's zone
     * @param zones all zones, including the zones of parent caches
     * @param classes the service classes
     * @param parentKind endpoint kind of the parent caches; null if there are none
     * @param originKind endpoint kind of the origin; null if there is none
     * @param reportFields names of the values in a load report, in their order
     * @param drainGraceUs no attempt is sent to an endpoint that has been draining for longer than this
     * @param purgeGraceUs a request sent later than this after a purge is not answered from a copy older than the purge
     * @param connectTimeoutUs timeout for opening a connection to an endpoint
     */
    @StoredName("Started")
    record ProxyStarted(
            @StoredName("zone") String zone,
            @StoredName("zones") List<String> zones,
            @StoredName("classes") List<ServiceClassInfo> classes,
            @StoredName("parentKind") @NullableComponent String parentKind,
            @StoredName("originKind") @NullableComponent String originKind,
            @StoredName("reportFields") List<String> reportFields,
            @StoredName("drainGraceUs") long drainGraceUs,
            @StoredName("purgeGraceUs") long purgeGraceUs,
            @StoredName("connectUs") long connectTimeoutUs)
            implements Event {}

    /**
     * A request was admitted.
     *
     * @param request the request
     * @param serviceClass its service class
     * @param object the object
     * @param group the object's surrogate key
     */
    @StoredName("Taken")
    record RequestAdmitted(
            @StoredName("request") long request,
            @StoredName("type") String serviceClass,
            @StoredName("object") long object,
            @StoredName("group") int group)
            implements Event {}

    /**
     * An attempt was sent.
     *
     * @param request the request
     * @param attempt the attempt's number, from 0
     * @param serviceClass the request's service class
     * @param server the endpoint it was sent to
     * @param source where the endpoint fills a miss from; null for no fill
     * @param object the object
     * @param group the object's surrogate key
     */
    @StoredName("Sent")
    record AttemptSent(
            @StoredName("request") long request,
            @StoredName("attempt") int attempt,
            @StoredName("type") String serviceClass,
            @StoredName("server") String server,
            @StoredName("source") @NullableComponent String source,
            @StoredName("object") long object,
            @StoredName("group") int group)
            implements Event {}

    /**
     * An attempt ended.
     *
     * @param request the request
     * @param attempt the attempt's number, from 0
     * @param serviceClass the request's service class
     * @param server the endpoint it was sent to
     * @param source where the endpoint fills a miss from; null for no fill
     * @param object the object
     * @param group the object's surrogate key
     * @param status how the attempt ended
     * @param cacheStatus what the response reported about the cached copy or the fill
     * @param latencyUs time from sending the attempt to its end
     * @param sourceWaitUs time that the endpoint waited for the fill source
     * @param bornMs time at which the origin sent the copy, in Unix milliseconds; 0 if the response does not report it
     * @param bytes length of the body
     * @param load values of the load report, in the order of the settings; empty if there is no report
     */
    @StoredName("Ended")
    record AttemptEnded(
            @StoredName("request") long request,
            @StoredName("attempt") int attempt,
            @StoredName("type") String serviceClass,
            @StoredName("server") String server,
            @StoredName("source") @NullableComponent String source,
            @StoredName("object") long object,
            @StoredName("group") int group,
            @StoredName("status") AttemptStatus status,
            @StoredName("note") CacheStatus cacheStatus,
            @StoredName("latencyUs") long latencyUs,
            @StoredName("waitedUs") long sourceWaitUs,
            @StoredName("bornMs") long bornMs,
            @StoredName("bytes") long bytes,
            @StoredName("load") List<Double> load)
            implements Event {}

    /**
     * The final response of a request was sent.
     *
     * @param request the request
     * @param serviceClass its service class
     * @param kind the kind of the response
     * @param latencyUs time from the arrival of the request to its response
     * @param bytes length of the body
     * @param earnedWeight priority weight credited for the response; less for a late or stale one
     * @param withinObjective whether the response met the latency objective for its size
     * @param retryAfterMs delay before a retry that the response asks of the client; 0 for none
     * @param reason why the router ended the request; null if it was served or rejected by the proxy's own limits
     */
    @StoredName("Answered")
    record RequestCompleted(
            @StoredName("request") long request,
            @StoredName("type") String serviceClass,
            @StoredName("kind") ResponseKind kind,
            @StoredName("latencyUs") long latencyUs,
            @StoredName("bytes") long bytes,
            @StoredName("worth") double earnedWeight,
            @StoredName("inTime") boolean withinObjective,
            @StoredName("retryAfterMs") long retryAfterMs,
            @StoredName("why") @NullableComponent TerminationReason reason)
            implements Event {}

    /**
     * A client disconnected before its response, so no response will be sent.
     *
     * @param request the request
     */
    @StoredName("Left")
    record ClientDisconnected(@StoredName("request") long request) implements Event {}

    /**
     * A request was rejected before admission.
     *
     * @param request its id as the client sent it
     * @param serviceClass its service class; empty if the proxy does not know the class
     * @param kind the kind of the response
     */
    @StoredName("TurnedAway")
    record RequestRejected(
            @StoredName("request") String request,
            @StoredName("type") String serviceClass,
            @StoredName("kind") ResponseKind kind)
            implements Event {}

    /**
     * The discovery service reported a change of the endpoint list.
     *
     * @param index index of the change in the discovery service's sequence of events
     * @param complete whether the list is complete, or holds only the changed endpoints
     * @param servers the listed endpoints
     */
    @StoredName("Listed")
    record EndpointsChanged(
            @StoredName("index") long index,
            @StoredName("complete") boolean complete,
            @StoredName("servers") List<ListedEndpoint> servers)
            implements Event {}

    /**
     * The discovery service reported a purge.
     *
     * @param index index of the purge in the discovery service's sequence of events
     * @param object the purged object; null if a surrogate key is purged
     * @param group the purged surrogate key; -1 if a single object is purged
     * @param unixMs when the purge was issued, in Unix milliseconds
     */
    @StoredName("Purged")
    record Purged(
            @StoredName("index") long index,
            @StoredName("object") @NullableComponent Long object,
            @StoredName("group") int group,
            @StoredName("unixMs") long unixMs)
            implements Event {}

    /**
     * The router ejected an endpoint, or extended an ejection after a failed health check.
     *
     * @param server the endpoint
     * @param healthCheckFailed whether a health check failed during an ejection, which doubles the pause
     * @param pauseUs time until the next health check
     */
    @StoredName("Ejected")
    record EndpointEjected(
            @StoredName("server") String server,
            @StoredName("trial") boolean healthCheckFailed,
            @StoredName("pauseUs") long pauseUs)
            implements Event {}

    /**
     * The router returned an ejected endpoint to service.
     *
     * @param server the endpoint
     */
    @StoredName("Returned")
    record EndpointRecovered(@StoredName("server") String server) implements Event {}

    /**
     * The state of the proxy, recorded once a second.
     *
     * @param openRequests number of requests in flight
     * @param queuedTasks number of tasks queued for the event thread
     * @param heapBytes heap in use; 0 if unknown
     * @param maxTimerDelayUs the longest time by which a timer ran late
     */
    @StoredName("Pulse")
    record Heartbeat(
            @StoredName("open") int openRequests,
            @StoredName("queued") int queuedTasks,
            @StoredName("heapBytes") long heapBytes,
            @StoredName("lateUs") long maxTimerDelayUs)
            implements Event {}

    /**
     * An orderly shutdown began.
     *
     * @param completionDeadlineUs time by which every open request will have been answered
     */
    @StoredName("Draining")
    record DrainStarted(@StoredName("answerAllUs") long completionDeadlineUs) implements Event {}

    /** An orderly shutdown ended; the last event of an incarnation. */
    @StoredName("Finished")
    record ProxyStopped() implements Event {}

    /**
     * Events before this one were lost because the writer fell behind or a write to the disk failed.
     *
     * @param events number of lost events; their sequence numbers are missing
     */
    @StoredName("Lost")
    record EventsLost(@StoredName("events") long events) implements Event {}
}
