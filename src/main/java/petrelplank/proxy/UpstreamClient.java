package petrelplank.proxy;

import java.net.InetSocketAddress;

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
