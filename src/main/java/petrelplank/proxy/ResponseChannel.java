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
     * Whether there is memory for a response that waits until the client has read those before it.
     *
     * @param responseBytes length of the response body
     * @return false if a response of this length must not be sent
     */
    default boolean hasRoomFor(int responseBytes) {
        return true;
    }

    /**
     * Called once the proxy holds nothing of the request any more: neither its body nor an attempt. This may be long
     * after the final response, or without one if the client has disconnected. Event thread only; calls after the first
     * have no effect.
     */
    default void requestReleased() {}

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
