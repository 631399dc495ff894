package petrelplank.emulator;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;

/**
 * What happened in an emulation, as observed by the clients and the servers. Jackson writes it as JSON; an annotation
 * gives the key where it differs from the component's name. Maps by second are keyed by Unix time in
 * seconds, measured by the proxy's clock.
 *
 * @param total all requests
 * @param seconds requests by second
 * @param classes requests by service class
 * @param zones requests by the proxy's zone
 * @param servers attempts by server
 * @param origin calls that reached the origin, by second
 * @param purges when the proxies were notified of each purge, by the index of its event
 * @param drains when the proxies were notified that a server is draining or gone, by server
 * @param incarnations the incarnations of the proxies, ordered by start
 * @param unanswered requests without a final response
 * @param lateSends attempts sent to, or filled from, a draining or removed server after the grace time
 * @param stalePurgedCopies responses with a copy from before a purge, for attempts sent after the purge grace time
 * @param faults the injected faults and their consequences
 * @param repeatedWrites writes that the origin executed more than once
 * @param scenario the scenario's name
 * @param seed of all random numbers
 */
public record GroundTruth(
        Requests total,
        Map<Long, Requests> seconds,
        Map<String, Requests> classes,
        @JsonProperty("branches") Map<String, Requests> zones,
        Map<String, Attempts> servers,
        @JsonProperty("central") Map<Long, OriginCalls> origin,
        Map<Long, Notifications> purges,
        Map<String, Notifications> drains,
        @JsonProperty("lives") List<Incarnation> incarnations,
        long unanswered,
        long lateSends,
        @JsonProperty("latePurge") long stalePurgedCopies,
        @JsonProperty("troubles") List<FaultPeriod> faults,
        @JsonProperty("twice") long repeatedWrites,
        String scenario,
        long seed) {
    /**
     * Numbers of client requests by outcome.
     *
     * @param asked requests that clients sent
     * @param served requests answered with the object
     * @param notModified requests answered with "not modified": the client's copy is still valid
     * @param rejected requests rejected with the guarantee that nothing was executed
     * @param failed requests that failed without that guarantee
     * @param inTime requests answered within both the latency objective and the deadline
     * @param weightAsked total priority weight of the requests
     * @param weightEarned total priority weight of the successful responses, reduced for late ones
     */
    public record Requests(
            long asked,
            long served,
            @JsonProperty("still") long notModified,
            @JsonProperty("refused") long rejected,
            long failed,
            long inTime,
            @JsonProperty("worthAsked") double weightAsked,
            @JsonProperty("worthEarned") double weightEarned) {}

    /**
     * Numbers of attempts at one server by outcome, and their response times.
     *
     * @param sent attempts sent
     * @param aborted attempts that the proxy aborted
     * @param ok attempts that succeeded
     * @param error attempts that failed
     * @param rejected attempts that the server rejected
     * @param miss attempts for an object that the server had no copy of
     * @param reset attempts whose connection was reset
     * @param connectFailed attempts for which no connection could be established
     * @param medianMs median response time
     * @param percentile99Ms 99th percentile of the response time
     */
    public record Attempts(
            long sent,
            @JsonProperty("withdrawn") long aborted,
            long ok,
            long error,
            @JsonProperty("full") long rejected,
            long miss,
            long reset,
            @JsonProperty("connect_failed") long connectFailed,
            @JsonProperty("p50Ms") double medianMs,
            @JsonProperty("p99Ms") double percentile99Ms) {}

    /**
     * Calls that reached the origin in one second.
     *
     * @param calls all calls
     * @param failed calls that failed
     */
    public record OriginCalls(long calls, long failed) {}

    /**
     * When the proxies were notified of an event, each measured by the proxy's own clock.
     *
     * @param count how many notifications were delivered
     * @param firstUs time of the earliest notification; 0 if there was none
     * @param lastUs time of the latest notification; 0 if there was none
     */
    public record Notifications(@JsonProperty("told") int count, long firstUs, long lastUs) {}

    /**
     * One incarnation of a proxy: a run of its process from start to end, timed by its own clock.
     *
     * @param proxy the proxy's name
     * @param startedUs when the process started
     * @param end how the process ended
     * @param endedUs when the process ended
     */
    public record Incarnation(@JsonProperty("front") String proxy, long startedUs, End end, long endedUs) {
        /** How a proxy's process ended. */
        public enum End {
            /** It ran until the end of the emulation and shut down gracefully. */
            @JsonProperty("finished")
            FINISHED,
            /** It was killed by a fault. */
            @JsonProperty("killed")
            KILLED
        }
    }

    /**
     * The period of a fault that was injected, or of one that an injected fault caused.
     *
     * @param kind the kind as in scenario files, or {@link #ORIGIN_STOPPED}
     * @param servers the affected servers, proxies or zones; empty if the fault affects the whole fleet
     * @param fromUs when the fault began, in Unix time
     * @param toUs when the fault ended, in Unix time
     */
    public record FaultPeriod(String kind, List<String> servers, long fromUs, long toUs) {
        /** The kind of the fault that follows when the origin stops under overload. */
        public static final String ORIGIN_STOPPED = "stock-stopped";
    }
}
