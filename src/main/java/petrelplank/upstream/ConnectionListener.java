package petrelplank.upstream;

import java.util.List;
import petrelplank.proxy.UpstreamResponse;

/** Learns what happens on connections; all calls in the event thread. */
interface ConnectionListener {
    /** Why a connection was not made, or has ended. */
    enum LossCause {
        /** It was refused, or not made in time: the server counts as down. */
        UNREACHABLE,
        /** It was reset, or has closed: that need not be the server's fault. */
        RESET
    }

    /** Responses were received, in this order. */
    void responsesReceived(UpstreamConnection connection, List<UpstreamResponse> responses);

    /** The server sent bytes that are no response; the connection is being closed for that. */
    void malformed(UpstreamConnection connection, MalformedException fault);

    /** A connection was not made, or has closed; may be called more than once for a connection. */
    void connectionLost(UpstreamConnection connection, LossCause cause);
}
