package petrelplank.record;

/**
 * Records the events of one proxy. Called from the event thread, so an implementation for production must not block.
 */
public interface EventSink {
    /** Discards every event. Used when records are off: callers may compare with it and create no events at all. */
    EventSink NONE = new EventSink() {
        @Override
        public void record(long unixUs, Event event) {}
    };

    /**
     * Records an event.
     *
     * @param unixUs time of the event, in Unix microseconds
     * @param event the event
     */
    void record(long unixUs, Event event);

    /**
     * Returns the heap in use, for {@link Event.Heartbeat}.
     *
     * @return bytes in use; 0 if the heap is not the proxy's own, as with an emulated proxy
     */
    default long heapBytes() {
        return 0;
    }

    /** Writes the events recorded so far, waiting for a bounded time only, and closes the sink. */
    default void close() {}
}
