package petrelplank.proxy;

/** Sends the final response of one request to its client. */
public interface ResponseChannel {
    /**
     * Sends the final response without blocking; does nothing if the client has disconnected.
     *
     * @param response the response
     */
    void sendResponse(ClientResponse response);

    /**
     * Whether the client still waits for its response. May be called from any thread, and may return false before the
     * event thread has processed the client's disconnect, because the I/O thread detects it first.
     *
     * @return false once the client has closed its connection, cancelled the request or received its response
     */
    default boolean isOpen() {
        return true;
    }
}
