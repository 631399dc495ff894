package petrelplank.proxy;

/** The way back to the client that sent a request: takes its one final answer. */
public interface ResponseChannel {
    /**
     * Sends the final answer, without waiting; nothing is sent where the client has left meanwhile.
     *
     * @param answer the answer
     */
    void answer(ClientResponse answer);

    /**
     * Whether the client still waits for its answer. The I/O thread knows of a close or a cancellation before the
     * event thread has come to hear of it. Any thread.
     *
     * @return false once the client has closed its connection or cancelled the request, or was answered
     */
    default boolean isOpen() {
        return true;
    }
}
