package petrelplank.routing;

import java.util.List;

/**
 * Decides, for one gateway, which cache answers each request and where a miss is filled from.
 *
 * <p>A host (a gateway) makes one instance with its {@link RouterSettings}, a seed and its {@link Actions}, then
 * reports every event as one method call. An instance is not thread-safe: call it from one thread, in the order in
 * which things happened, with a clock that never runs backwards. The instance answers by calling {@link Actions},
 * always before the event method returns and only then; it starts no threads and reads no clock. Instances share
 * nothing.
 *
 * <p>Order: construct, then {@link #endpointsChanged} with the complete list, then anything. All times are
 * microseconds of the host's clock, all durations microseconds. Every request gets exactly one final answer: an {@link
 * AttemptOutcome} with {@code completed}, {@link Actions#reject} or {@link Actions#fail}. Ids the router no longer
 * holds are ignored.
 */
public interface Router {

    /**
     * The list of endpoints changed.
     *
     * @param now the clock
     * @param complete true when {@code members} is the complete list (others are gone), false for changes only
     * @param members the entries
     */
    void endpointsChanged(long now, boolean complete, List<EndpointInfo> members);

    /**
     * A call of {@link Actions#watchEndpoints} or {@link Actions#fetchEndpoints} failed, or the subscription broke.
     *
     * @param now the clock
     */
    void discoveryFailed(long now);

    /**
     * A client's request came in; exactly one final answer has to follow.
     *
     * @param now the clock
     * @param request the request
     */
    void requestReceived(long now, RoutingRequest request);

    /**
     * An attempt ended.
     *
     * @param now the clock
     * @param outcome how it ended
     */
    void attemptEnded(long now, AttemptOutcome outcome);

    /**
     * The response to a streamed request has begun: it is passed on to the client, and the attempt has no time-out.
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
     * Older copies of one object must not be served any more.
     *
     * @param now the clock
     * @param object the object
     * @param ageUs time since the purge
     */
    void objectPurged(long now, long object, long ageUs);

    /**
     * Older copies of all objects of a group must not be served any more.
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
     * @param server the endpoint that was checked
     * @param status {@link AttemptStatus#OK} or why not
     * @param latencyUs how long it took
     * @param load the load report, in the order of {@link RouterSettings#reportFields}; null when there is none
     */
    default void healthChecked(long now, String server, AttemptStatus status, long latencyUs, double[] load) {}

    /**
     * Another gateway sent a gossip message.
     *
     * @param now the clock
     * @param from the sender's number
     * @param data the payload
     */
    default void gossipReceived(long now, int from, byte[] data) {}

    /**
     * A timer set by {@link Actions#setTimer} is due.
     *
     * @param now the clock
     * @param token the timer's token
     */
    void timerFired(long now, long token);

    /** What the host does for the router, at once and in the order called. */
    interface Actions {
        /**
         * Sends an attempt; attempts of a request are numbered from 0 in the order sent.
         *
         * @param request the request's id
         * @param plan the attempt
         */
        void send(String request, AttemptPlan plan);

        /**
         * Final answer: rejected; another request is harmless.
         *
         * @param request the request's id
         * @param retryAfterUs when the client should come back; 0 for no advice
         */
        void reject(String request, long retryAfterUs);

        /**
         * Final answer: failed; the request may have run.
         *
         * @param request the request's id
         */
        void fail(String request);

        /**
         * Tells why the request is terminated; its rejection or failure follows before any other action.
         *
         * @param request the request's id
         * @param reason why
         */
        default void terminated(String request, TerminationReason reason) {}

        /**
         * An endpoint is ejected until a health-check attempt at it succeeds.
         *
         * @param server the endpoint
         * @param healthCheck a health-check attempt failed, and it stays ejected
         * @param pauseUs time to the next health-check attempt
         */
        default void ejected(String server, boolean healthCheck, long pauseUs) {}

        /**
         * An ejected endpoint is used again.
         *
         * @param server the endpoint
         */
        default void recovered(String server) {}

        /**
         * Stops waiting for an attempt.
         *
         * @param request the request's id
         * @param attempt the attempt's number
         */
        void cancel(String request, int attempt);

        /**
         * Sends a health check.
         *
         * @param server the endpoint to check
         */
        void healthCheck(String server);

        /**
         * Sends a gossip message of at most 256 bytes.
         *
         * @param gateway its number; -1 for all
         * @param data the payload
         */
        void gossip(int gateway, byte[] data);

        /**
         * Asks for {@link Router#timerFired} at a time.
         *
         * @param token handed back
         * @param atUs when
         */
        void setTimer(long token, long atUs);

        /** Subscribes to changes of the endpoint list. */
        void watchEndpoints();

        /** Asks for the complete endpoint list once. */
        void fetchEndpoints();

        /**
         * Writes a log line for the operators.
         *
         * @param line the text
         */
        void log(String line);
    }
}
