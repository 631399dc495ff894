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
    private final HeldMemory heldMemory;

    FastCgiResponseChannel(
            FastCgiConnection connection,
            OpenRequests openRequests,
            int id,
            boolean keepConnection,
            String requestId,
            HeldMemory heldMemory) {
        this.connection = connection;
        this.openRequests = openRequests;
        this.id = id;
        this.keepConnection = keepConnection;
        this.requestId = requestId;
        this.heldMemory = heldMemory;
    }

    /** The client's request id (HTTP_X_REQUEST_ID), in contrast to the FastCGI id on the connection. */
    String requestId() {
        return requestId;
    }

    /** A response may race with an abort by the client: whichever removes the request from the open ones first wins. */
    @Override
    public void sendResponse(ClientResponse response) {
        openRequests.beginResponse();
        boolean wasOpen = openRequests.remove(id, this);
        if (wasOpen) {
            connection.writeResponse(id, response);
        }
        openRequests.endResponse();
        if (wasOpen && !keepConnection) {
            connection.closeAfterResponses();
        }
    }

    @Override
    public boolean hasRoomFor(int responseBytes) {
        return connection.hasRoomFor(responseBytes);
    }

    @Override
    public void requestReleased() {
        heldMemory.release();
    }

    @Override
    public boolean isOpen() {
        return openRequests.contains(id, this);
    }
}
