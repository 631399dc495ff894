package petrelplank.proxy;

/** The way back to the client that sent a request: takes its one final response. */
public interface ResponseChannel {
    /**
     * Sends the final response, without waiting; nothing is sent where the client has disconnected meanwhile.
     *
     * @param response the response
     */
    void answer(ClientResponse response);

    /**
     * Whether the client still waits for its response. The I/O thread knows of a close or a cancellation before the
     * event thread does. Any thread.
     *
     * @return false once the client has closed its connection or cancelled the request, or was answered
     */
    default boolean isOpen() {
        return true;
    }
}
