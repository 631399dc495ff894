package petrelplank.fastcgi;

import petrelplank.proxy.ClientResponse;
import petrelplank.proxy.ResponseChannel;

/** Sends the response to one request on a FastCGI connection. */
final class FastCgiResponseChannel implements ResponseChannel {
    private final FastCgiConnection connection;
    private final OpenRequests openRequests;
    private final int id;
    private final boolean keepConnection;
    private final String requestId;
    private final int requestBodyLength;

    FastCgiResponseChannel(
            FastCgiConnection connection,
            OpenRequests openRequests,
            int id,
            boolean keepConnection,
            String requestId,
            int requestBodyLength) {
        this.connection = connection;
        this.openRequests = openRequests;
        this.id = id;
        this.keepConnection = keepConnection;
        this.requestId = requestId;
        this.requestBodyLength = requestBodyLength;
    }

    /** The client's request id (HTTP_X_REQUEST_ID), in contrast to the FastCGI id on the connection. */
    String requestId() {
        return requestId;
    }

    /** Bytes of the request body; they stay in memory until the request is answered. */
    int requestBodyLength() {
        return requestBodyLength;
    }

    /** A response may race with an abort by the client: whichever removes the request from the open ones first wins. */
    @Override
    public void sendResponse(ClientResponse response) {
        openRequests.beginResponse();
        boolean wasOpen = openRequests.remove(id, this);
        if (wasOpen) {
            connection.writeResponse(id, response, requestBodyLength);
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
