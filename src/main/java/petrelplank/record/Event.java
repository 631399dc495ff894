package petrelplank.record;

import java.util.List;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;
import petrelplank.routing.EndpointState;
import petrelplank.routing.Idempotency;
import petrelplank.routing.TerminationReason;

/**
 * What a front writes down: one fact each, as the front knew it then. Every type here is a record of the file's
 * schema, which is made from its components: add components with care, and never change the meaning of one. Times
 * are Unix microseconds and durations microseconds unless a name says otherwise; a field that may be absent is
 * marked {@link NullableComponent}.
 */
public sealed interface Event {
    /** How a request was answered in the end. */
    @StoredName("Final")
    enum ResponseKind {
        /** The bytes. */
        @StoredName("SERVED")
        SERVED,
        /** The client's own copy holds. */
        @StoredName("STILL")
        NOT_MODIFIED,
        /** Nothing may have run; it may come again. */
        @StoredName("REFUSED")
        REJECTED,
        /** No promise. */
        @StoredName("FAILED")
        FAILED,
        /** It could not be understood. */
        @StoredName("BAD_REQUEST")
        BAD_REQUEST
    }

    /**
     * A class of requests, as the settings say.
     *
     * @param name its name
     * @param worth worth of an answer in time
     * @param deadlineUs how long a client waits
     * @param idempotency how far it may be repeated
     * @param write runs at the origin
     */
    @StoredName("ClassOf")
    record ClassInfo(
            @StoredName("name") String name,
            @StoredName("worth") double worth,
            @StoredName("deadlineUs") long deadlineUs,
            @StoredName("repeat") Idempotency repeat,
            @StoredName("write") boolean write) {}

    /**
     * A new life of a front began.
     *
     * @param zone its branch
     * @param zones all branches and hubs
     * @param classes the classes
     * @param parentKind the kind of hub caches; absent where there are none
     * @param originKind the kind of the central stock; absent where there is none
     * @param reportFields names of the values in load reports
     * @param drainGraceUs sends to a draining server stop within this
     * @param purgeGraceUs sends after this may not be answered from a copy older than the purge
     * @param connectUs a connection not made in this time failed
     */
    @StoredName("Started")
    record ProxyStarted(
            @StoredName("zone") String zone,
            @StoredName("zones") List<String> zones,
            @StoredName("classes") List<ClassInfo> classes,
            @StoredName("parentKind") @NullableComponent String parentKind,
            @StoredName("originKind") @NullableComponent String originKind,
            @StoredName("reportFields") List<String> reportFields,
            @StoredName("drainGraceUs") long drainGraceUs,
            @StoredName("purgeGraceUs") long purgeGraceUs,
            @StoredName("connectUs") long connectUs)
            implements Event {}

    /**
     * A request was taken.
     *
     * @param request its id, 16 hex digits as a number
     * @param type its class
     * @param object the object
     * @param group the object's group
     */
    @StoredName("Taken")
    record RequestAdmitted(
            @StoredName("request") long request,
            @StoredName("type") String type,
            @StoredName("object") long object,
            @StoredName("group") int group)
            implements Event {}

    /**
     * An attempt was ordered.
     *
     * @param request the request's id, 16 hex digits as a number
     * @param attempt its number, from 0
     * @param type the request's class
     * @param server who is asked
     * @param source where a miss is filled from; absent for no fill
     * @param object the object
     * @param group the object's group
     */
    @StoredName("Sent")
    record AttemptSent(
            @StoredName("request") long request,
            @StoredName("attempt") int attempt,
            @StoredName("type") String type,
            @StoredName("server") String server,
            @StoredName("source") @NullableComponent String source,
            @StoredName("object") long object,
            @StoredName("group") int group)
            implements Event {}

    /**
     * An attempt ended.
     *
     * @param request the request's id, 16 hex digits as a number
     * @param attempt its number
     * @param type the request's class
     * @param server who was asked
     * @param source where a miss would be filled from; absent for no fill
     * @param object the object
     * @param group the object's group
     * @param status how
     * @param cacheStatus what is told of the copy or the fill
     * @param latencyUs time since it was sent
     * @param sourceWaitUs time that the server waited for the source
     * @param bornMs Unix millisecond at which the origin gave the copy out; 0 where it is not told
     * @param bytes of the body
     * @param load the load report, in the order of the settings; empty where there is none
     */
    @StoredName("Ended")
    record AttemptEnded(
            @StoredName("request") long request,
            @StoredName("attempt") int attempt,
            @StoredName("type") String type,
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
     * The one final answer went out.
     *
     * @param request the request's id, 16 hex digits as a number
     * @param type its class; empty where it was not understood
     * @param kind what it said
     * @param latencyUs time since the request arrived
     * @param bytes of the body
     * @param worth what it earned
     * @param inTime whether it came within the class's aim for its size
     * @param retryAfterMs advice to the client; 0 for none
     * @param why why it was refused or failed; absent where it was served or the front's own limits refused it
     */
    @StoredName("Answered")
    record RequestCompleted(
            @StoredName("request") long request,
            @StoredName("type") String type,
            @StoredName("kind") ResponseKind kind,
            @StoredName("latencyUs") long latencyUs,
            @StoredName("bytes") long bytes,
            @StoredName("worth") double worth,
            @StoredName("inTime") boolean inTime,
            @StoredName("retryAfterMs") long retryAfterMs,
            @StoredName("why") @NullableComponent TerminationReason why)
            implements Event {}

    /**
     * A client left before its answer; nothing is owed.
     *
     * @param request the request's id, 16 hex digits as a number
     */
    @StoredName("Left")
    record ClientDisconnected(@StoredName("request") long request) implements Event {}

    /**
     * A request was turned away before the router saw it: nothing was taken.
     *
     * @param request its id
     * @param type its class; empty where it was not understood
     * @param kind what it was told
     */
    @StoredName("TurnedAway")
    record RequestRejected(
            @StoredName("request") String request,
            @StoredName("type") String type,
            @StoredName("kind") ResponseKind kind)
            implements Event {}

    /**
     * A listed server.
     *
     * @param id its id
     * @param zone where it stands
     * @param kind its kind
     * @param state its state
     * @param weight its link out, in transfers at full pace
     * @param startedUs its late start; 0 for long ago
     */
    @StoredName("Server")
    record ListedEndpoint(
            @StoredName("id") String id,
            @StoredName("zone") String zone,
            @StoredName("kind") String kind,
            @StoredName("state") EndpointState state,
            @StoredName("weight") double weight,
            @StoredName("startedUs") long startedUs) {}

    /**
     * The coordinator told of a change of the list.
     *
     * @param index its number
     * @param complete the servers are the whole list
     * @param servers the entries
     */
    @StoredName("Listed")
    record EndpointsChanged(
            @StoredName("index") long index,
            @StoredName("complete") boolean complete,
            @StoredName("servers") List<ListedEndpoint> servers)
            implements Event {}

    /**
     * The coordinator told of a purge.
     *
     * @param index its number
     * @param object the object; absent for a whole group
     * @param group the group; -1 for a single object
     * @param unixMs when it was made
     */
    @StoredName("Purged")
    record Purged(
            @StoredName("index") long index,
            @StoredName("object") @NullableComponent Long object,
            @StoredName("group") int group,
            @StoredName("unixMs") long unixMs)
            implements Event {}

    /**
     * The router left a server out.
     *
     * @param server which
     * @param trial a trial failed, and the pause doubled
     * @param pauseUs until the next trial
     */
    @StoredName("Ejected")
    record EndpointEjected(
            @StoredName("server") String server,
            @StoredName("trial") boolean trial,
            @StoredName("pauseUs") long pauseUs)
            implements Event {}

    /**
     * The router took a server back.
     *
     * @param server which
     */
    @StoredName("Returned")
    record EndpointRecovered(@StoredName("server") String server) implements Event {}

    /**
     * How the front was in the last second.
     *
     * @param open requests open
     * @param queued tasks that waited for the event thread
     * @param heapBytes memory in use; 0 where it is not known
     * @param lateUs the longest that a due timer waited
     */
    @StoredName("Pulse")
    record Heartbeat(
            @StoredName("open") int open,
            @StoredName("queued") int queued,
            @StoredName("heapBytes") long heapBytes,
            @StoredName("lateUs") long lateUs)
            implements Event {}

    /**
     * A planned end began.
     *
     * @param answerAllUs when all will be answered
     */
    @StoredName("Draining")
    record DrainStarted(@StoredName("answerAllUs") long answerAllUs) implements Event {}

    /** A planned end; the last event of a life. */
    @StoredName("Finished")
    record ProxyStopped() implements Event {}

    /**
     * Events before this one that the writer could not keep up with, or the disk not take.
     *
     * @param events how many; their numbers are missing
     */
    @StoredName("Lost")
    record EventsLost(@StoredName("events") long events) implements Event {}
}
