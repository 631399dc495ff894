package petrelplank.fastcgi;

import petrelplank.proxy.ClientResponse;
import petrelplank.proxy.ResponseChannel;

/** The way back to a FastCGI client, for one request on its connection. */
final class FastCgiResponseChannel implements ResponseChannel {
    private final FastCgiConnection connection;
    private final OpenRequests openRequests;
    private final int id;
    private final boolean keepConnection;
    private final String requestId;
    private final int bodyLength;

    FastCgiResponseChannel(
            FastCgiConnection connection,
            OpenRequests openRequests,
            int id,
            boolean keepConnection,
            String requestId,
            int bodyLength) {
        this.connection = connection;
        this.openRequests = openRequests;
        this.id = id;
        this.keepConnection = keepConnection;
        this.requestId = requestId;
        this.bodyLength = bodyLength;
    }

    /** The client's id of the request. */
    String requestId() {
        return requestId;
    }

    /** Bytes of the request that are held until it is answered. */
    int bodyLength() {
        return bodyLength;
    }

    /** A response and an abort may meet: whichever removes the request first wins. */
    @Override
    public void answer(ClientResponse response) {
        openRequests.beginResponse();
        boolean wasOpen = openRequests.remove(id, this);
        if (wasOpen) {
            connection.respond(id, response, bodyLength);
        }
        openRequests.endResponse();
        if (wasOpen && !keepConnection) {
            connection.closeAfterResponses();
        }
    }

    @Override
    public boolean isOpen() {
        return openRequests.contains(id, this);
    }
}
