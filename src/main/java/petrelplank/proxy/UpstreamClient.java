package petrelplank.proxy;

import java.net.InetSocketAddress;

/** The connections to caches, parents and the origin, as the front uses them; all calls from the event thread. */
public interface UpstreamClient {
    /**
     * Sends an attempt; its end is reported by {@link ResponseForwarder#ended}, never before this returns.
     *
     * @param attempt the attempt
     */
    void send(Attempt attempt);

    /**
     * Gives an attempt up; nothing more is reported of it.
     *
     * @param attempt the attempt
     */
    void abort(Attempt attempt);

    /**
     * A server is listed.
     *
     * @param id its id
     * @param address where it listens
     * @param startedUs when it last started; 0 for long ago
     */
    void endpointListed(String id, InetSocketAddress address, long startedUs);

    /**
     * A server is gone for good.
     *
     * @param id its id
     */
    void endpointRemoved(String id);
}
