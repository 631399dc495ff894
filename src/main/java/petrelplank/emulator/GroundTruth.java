package petrelplank.emulator;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;

/**
 * What happened in an emulation, seen at the clients' and the servers' ends. Jackson writes it as JSON; where a key
 * differs from the component's name it stands in an annotation. Figures of a second are held under its Unix time.
 *
 * @param total all requests
 * @param seconds requests by second
 * @param classes requests by service class
 * @param zones requests by the proxy's zone
 * @param servers attempts by server
 * @param origin calls that reached the origin, by second
 * @param purges by a purge's event number: when the proxies were notified of it
 * @param drains by server: when the proxies were notified that it drains or is gone
 * @param incarnations the runs of the proxies, in the order of their starts
 * @param unanswered requests without a final response
 * @param lateSends attempts sent to a draining server after the grace time
 * @param stalePurgedCopies responses with a copy from before a purge, sent for after its grace time
 * @param faults what went wrong
 * @param repeatedWrites writes that ran more than once
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
     * Requests and how they ended.
     *
     * @param asked requests sent
     * @param served those answered with the object
     * @param notModified those answered that the client's copy is valid
     * @param rejected those rejected, with the promise that nothing ran
     * @param failed those that failed without such a promise
     * @param inTime those answered within the latency objective and the deadline
     * @param weightAsked priority weight of the requests
     * @param weightEarned priority weight of the answers, less for late ones
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
     * Attempts at one server and how they ended.
     *
     * @param sent attempts sent
     * @param aborted those that the proxy aborted
     * @param ok those that succeeded
     * @param error those that failed
     * @param rejected those that the server rejected
     * @param miss those that the server had no copy for
     * @param reset those whose connection broke
     * @param connectFailed those that found no connection
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
     * @param calls all of them
     * @param failed those that failed
     */
    public record OriginCalls(long calls, long failed) {}

    /**
     * When the proxies were notified of an event, each by its own clock.
     *
     * @param count how many were
     * @param firstUs when the first one was; 0 where none was
     * @param lastUs when the last one was; 0 where none was
     */
    public record Notifications(@JsonProperty("told") int count, long firstUs, long lastUs) {}

    /**
     * A run of a proxy's process.
     *
     * @param proxy the proxy
     * @param startedUs when it started
     * @param end how it ended
     * @param endedUs when it ended
     */
    public record Incarnation(@JsonProperty("front") String proxy, long startedUs, End end, long endedUs) {
        /** How a proxy's process ended. */
        public enum End {
            /** It ran until the end of the emulation, and shut down in order. */
            @JsonProperty("finished")
            FINISHED,
            /** It was killed. */
            @JsonProperty("killed")
            KILLED
        }
    }

    /**
     * A fault that was injected, or that followed from one.
     *
     * @param kind its kind, as in scenario files, or {@link #ORIGIN_STOPPED}
     * @param servers where
     * @param fromUs when it began
     * @param toUs when it ended
     */
    public record FaultPeriod(String kind, List<String> servers, long fromUs, long toUs) {
        /** The kind of an origin that stopped under overload. */
        public static final String ORIGIN_STOPPED = "stock-stopped";
    }
}
