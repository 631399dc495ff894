package petrelplank.routing;

import java.util.List;

/**
 * Decides, inside one proxy, which cache answers each request and which endpoint a miss is filled from.
 *
 * <p>The host (a proxy) creates one instance with its {@link RouterSettings}, a seed and its {@link Actions}, and
 * reports every event with one method call. An instance is not thread-safe: it must be called from one thread, in the
 * order in which the events happened, with a clock that never runs backwards. The instance responds by calling
 * {@link Actions}, only during an event method and never after it has returned. It starts no threads and reads no
 * clock. Instances share no state.
 *
 * <p>The first event after construction is {@link #endpointsChanged} with the complete list; after that, events may
 * come in any order. All times are microseconds of the host's clock, and all durations are microseconds. Every request
 * gets exactly one final answer, unless its client disconnects: an {@link AttemptOutcome} with {@code completed},
 * {@link Actions#reject} or {@link Actions#fail}. Events with an id that the router no longer knows are ignored.
 */
public interface Router {

    /**
     * The list of endpoints changed.
     *
     * @param now the clock
     * @param complete true if {@code entries} is the complete list, so that all others are removed; false if it has
     *     changes only
     * @param entries the listed or changed endpoints
     */
    void endpointsChanged(long now, boolean complete, List<EndpointInfo> entries);

    /**
     * A call of {@link Actions#watchEndpoints} or {@link Actions#fetchEndpoints} failed, or the subscription ended.
     *
     * @param now the clock
     */
    void discoveryFailed(long now);

    /**
     * A client's request was received; exactly one final answer has to follow.
     *
     * @param now the clock
     * @param request the request
     */
    void requestReceived(long now, RoutingRequest request);

    /**
     * An attempt ended.
     *
     * @param now the clock
     * @param outcome the outcome of the attempt
     */
    void attemptEnded(long now, AttemptOutcome outcome);

    /**
     * The response to a streamed request has begun. It is passed on to the client, and the attempt no longer has a
     * time-out.
     *
     * @param now the clock
     * @param request the request's id
     * @param attempt the attempt's number, from 0
     */
    void streamStarted(long now, String request, int attempt);

    /**
     * The client disconnected; the request needs no final answer.
     *
     * @param now the clock
     * @param request the request's id
     */
    void clientDisconnected(long now, String request);

    /**
     * One object was purged: older copies of it must not be served any more.
     *
     * @param now the clock
     * @param object the object
     * @param ageUs time since the purge
     */
    void objectPurged(long now, long object, long ageUs);

    /**
     * A group of objects was purged: older copies of any of them must not be served any more.
     *
     * @param now the clock
     * @param group the group
     * @param ageUs time since the purge
     */
    void groupPurged(long now, int group, long ageUs);

    /**
     * A health check ended.
     *
     * @param now the clock
     * @param server id of the endpoint that was checked
     * @param status {@link AttemptStatus#OK}, or how the check failed
     * @param latencyUs duration of the check
     * @param load the load report, in the order of {@link RouterSettings#reportFields}; null if there is none
     */
    default void healthChecked(long now, String server, AttemptStatus status, long latencyUs, double[] load) {}

    /**
     * Another proxy sent a gossip message.
     *
     * @param now the clock
     * @param from index of the sending proxy, see {@link RouterSettings#proxyIndex}
     * @param data the payload
     */
    default void gossipReceived(long now, int from, byte[] data) {}

    /**
     * A timer that was set by {@link Actions#setTimer} is due.
     *
     * @param now the clock
     * @param token token of the timer
     */
    void timerFired(long now, long token);

    /** Actions that the host performs for the router, immediately and in the order of the calls. */
    interface Actions {
        /**
         * Sends an attempt. Attempts of a request are numbered from 0 in the order in which they are sent.
         *
         * @param request the request's id
         * @param plan the attempt to send
         */
        void send(String request, AttemptPlan plan);

        /**
         * Gives the final answer: the request is rejected, and the client can safely repeat it.
         *
         * @param request the request's id
         * @param retryAfterUs time after which the client should retry; 0 for no advice
         */
        void reject(String request, long retryAfterUs);

        /**
         * Gives the final answer: the request has failed, and may have been executed.
         *
         * @param request the request's id
         */
        void fail(String request);

        /**
         * Reports why a request is terminated. Its rejection or failure follows before any other action.
         *
         * @param request the request's id
         * @param reason why the router terminates the request
         */
        default void terminated(String request, TerminationReason reason) {}

        /**
         * Reports that an endpoint is ejected until a health-check attempt at it succeeds.
         *
         * @param server id of the endpoint
         * @param healthCheck whether the endpoint stays ejected because a health-check attempt failed
         * @param pauseUs time until the next health-check attempt
         */
        default void ejected(String server, boolean healthCheck, long pauseUs) {}

        /**
         * Reports that an ejected endpoint is used again.
         *
         * @param server id of the endpoint
         */
        default void recovered(String server) {}

        /**
         * Cancels an attempt: the host stops waiting for its response.
         *
         * @param request the request's id
         * @param attempt the attempt's number
         */
        void cancel(String request, int attempt);

        /**
         * Sends a health check.
         *
         * @param server id of the endpoint to check
         */
        void healthCheck(String server);

        /**
         * Sends a gossip message of at most 256 bytes.
         *
         * @param proxy index of the receiving proxy, see {@link RouterSettings#proxyIndex}; -1 for all proxies
         * @param data the payload
         */
        void gossip(int proxy, byte[] data);

        /**
         * Sets a timer, which ends in a call of {@link Router#timerFired}.
         *
         * @param token token that is passed to that call
         * @param atUs time of the host's clock at which the timer is due
         */
        void setTimer(long token, long atUs);

        /** Subscribes to changes of the endpoint list. */
        void watchEndpoints();

        /** Requests the complete endpoint list once. */
        void fetchEndpoints();

        /**
         * Writes a log line for operators.
         *
         * @param line text of the line
         */
        void log(String line);
    }
}
