package petrelplank.proxy;

import java.net.InetSocketAddress;
import java.util.function.Predicate;
import petrelplank.routing.AttemptStatus;

/** Sends attempts to caches, parents and the origin. Event thread only. */
public interface UpstreamClient {
    /** Creates the upstream client of a proxy. */
    interface Factory {
        /**
         * Creates an upstream client without open connections.
         *
         * @param loop the event loop
         * @param forwarder is notified when an attempt ends
         * @return the client
         */
        UpstreamClient create(EventLoop loop, ResponseForwarder forwarder);
    }

    /**
     * Sends an attempt. Its end is reported to {@link ResponseForwarder#attemptEnded}, never before this returns.
     *
     * @param attempt the attempt
     */
    void send(Attempt attempt);

    /**
     * Aborts an attempt; its end is not reported.
     *
     * @param attempt the attempt
     */
    void abort(Attempt attempt);

    /**
     * Withdraws the attempts of which no byte has been written and that were planned by what no longer holds, for
     * example because their server is draining. Each ends with {@link AttemptStatus#WITHDRAWN}, so that it is planned
     * anew, before this returns or as soon as its connection has closed.
     *
     * @param condition selects the attempts
     */
    default void withdrawUnwritten(Predicate<Attempt> condition) {}

    /**
     * Withdraws an attempt that has not been written completely by the time until which it may be sent. If part of it
     * has been written, its connection is closed, so that the rest never follows.
     *
     * @param attempt the attempt; ignored if it has been written or has ended
     */
    default void withdrawUnlessWritten(Attempt attempt) {}

    /**
     * Adds an endpoint, or updates the address and the start time of a known one.
     *
     * @param id the endpoint's id
     * @param address the address that it listens on
     * @param startedUs when it last started, Unix time in microseconds; 0 if it started long ago
     */
    void endpointListed(String id, InetSocketAddress address, long startedUs);

    /**
     * Removes an endpoint for good.
     *
     * @param id the endpoint's id
     */
    void endpointRemoved(String id);

    /**
     * Counts of connections and of their faults, as one line for the log.
     *
     * @return the counts; empty if the client keeps none
     */
    default String counts() {
        return "";
    }
}
