package petrelplank.upstream;

import java.util.List;
import petrelplank.proxy.UpstreamResponse;

/** Receives the events of upstream connections. All methods are called on the event thread. */
interface ConnectionListener {
    /** Why a connection could not be established, or why it closed. */
    enum LossCause {
        /** The connection was refused, or the connect timed out: the server counts as down. */
        UNREACHABLE,
        /** The connection was reset, or closed in an orderly way, which does not imply that the server is down. */
        RESET
    }

    /** Called with received responses, in the order in which they arrived. */
    void responsesReceived(UpstreamConnection connection, List<UpstreamResponse> responses);

    /** Called when the server sent bytes that are not a valid response; the connection is already being closed. */
    void malformedResponse(UpstreamConnection connection, MalformedResponseException exception);

    /** Called when a connect failed or a connection closed; may be called more than once per connection. */
    void connectionLost(UpstreamConnection connection, LossCause cause);
}
