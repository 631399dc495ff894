package petrelplank.record;

import java.util.List;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;
import petrelplank.routing.TerminationReason;

/**
 * A fact that a proxy records, as the proxy knew it at the time. The types here make the schema of record files, in
 * the order of {@link StoredEventOrder}; the meaning of a component never changes.
 * Times are Unix microseconds and durations microseconds unless a name says otherwise; a request is named by its id,
 * 16 hex digits as a number.
 */
public sealed interface Event {
    /**
     * A new incarnation of a proxy started.
     *
     * @param zone the proxy's zone
     * @param zones all zones, those of parents included
     * @param classes the service classes
     * @param parentKind the kind of parent caches; null where there are none
     * @param originKind the kind of the origin; null where there is none
     * @param reportFields names of the values in load reports
     * @param drainGraceUs no attempt is sent to a draining endpoint after this time
     * @param purgeGraceUs no request sent after this time is answered from a copy older than the purge
     * @param connectUs connect timeout
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
            @StoredName("connectUs") long connectUs)
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
     * @param status its outcome
     * @param cacheStatus what the response said of the copy or the fill
     * @param latencyUs time since it was sent
     * @param sourceWaitUs how long the endpoint waited for the source
     * @param bornMs Unix millisecond at which the origin sent the copy; 0 where the response does not say
     * @param bytes length of the body
     * @param load the load report, in the order of the settings; empty where there is none
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
     * @param kind the outcome
     * @param latencyUs time since the request arrived
     * @param bytes length of the body
     * @param earnedWeight the priority weight that it earned
     * @param withinObjective whether it met the latency objective for its size
     * @param retryAfterMs the client's Retry-After; 0 for none
     * @param reason why the router rejected or failed it; null where it was served or the proxy's own limits rejected it
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
     * A client disconnected before its response; none is due any more.
     *
     * @param request the request
     */
    @StoredName("Left")
    record ClientDisconnected(@StoredName("request") long request) implements Event {}

    /**
     * A request was rejected before admission.
     *
     * @param request its id as the client sent it
     * @param serviceClass its service class; empty where the proxy knows no such class
     * @param kind the outcome
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
     * @param index the change's number
     * @param complete whether the endpoints are the complete list
     * @param servers the entries
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
     * @param index the purge's number
     * @param object the object; null where a surrogate key is purged
     * @param group the surrogate key; -1 for a single object
     * @param unixMs when it was issued
     */
    @StoredName("Purged")
    record Purged(
            @StoredName("index") long index,
            @StoredName("object") @NullableComponent Long object,
            @StoredName("group") int group,
            @StoredName("unixMs") long unixMs)
            implements Event {}

    /**
     * The router ejected an endpoint.
     *
     * @param server the endpoint
     * @param healthCheckFailed whether a health check failed, which doubles the pause
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
     * The proxy's state, once a second.
     *
     * @param openRequests requests in flight
     * @param queuedTasks tasks queued for the event thread
     * @param heapBytes heap in use; 0 where it is not known
     * @param maxTimerDelayUs the longest delay of a due timer
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
     * @param completionDeadlineUs when every request will have its response
     */
    @StoredName("Draining")
    record DrainStarted(@StoredName("answerAllUs") long completionDeadlineUs) implements Event {}

    /** An orderly shutdown ended; the last event of an incarnation. */
    @StoredName("Finished")
    record ProxyStopped() implements Event {}

    /**
     * Events before this one were lost, because the writer fell behind or the disk failed.
     *
     * @param events how many; their numbers are missing
     */
    @StoredName("Lost")
    record EventsLost(@StoredName("events") long events) implements Event {}
}
