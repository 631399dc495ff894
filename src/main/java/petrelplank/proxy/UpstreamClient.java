package petrelplank.proxy;

import java.net.InetSocketAddress;

/** The connections to caches, parents and the origin, as the proxy uses them. Event thread only. */
public interface UpstreamClient {
    /** Makes the connections of one proxy. */
    interface Factory {
        /**
         * Makes the connections; none is opened yet.
         *
         * @param loop the event thread
         * @param forwarder is told of the ends of attempts
         * @return the connections
         */
        UpstreamClient create(EventLoop loop, ResponseForwarder forwarder);
    }

    /**
     * Sends an attempt; its end is reported by {@link ResponseForwarder#attemptEnded}, never before this returns.
     *
     * @param attempt the attempt
     */
    void send(Attempt attempt);

    /**
     * Aborts an attempt; nothing more is reported of it.
     *
     * @param attempt the attempt
     */
    void abort(Attempt attempt);

    /**
     * A server is on the endpoint list.
     *
     * @param id its id
     * @param address where it listens
     * @param startedUs when it last started; 0 for long ago
     */
    void endpointListed(String id, InetSocketAddress address, long startedUs);

    /**
     * A server was removed for good.
     *
     * @param id its id
     */
    void endpointRemoved(String id);

    /**
     * Connections and their faults so far, in one line for the log.
     *
     * @return the counts; empty where none are kept
     */
    default String counts() {
        return "";
    }
}
