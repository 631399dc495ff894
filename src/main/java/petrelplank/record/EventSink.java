package petrelplank.record;

/** Takes events, from the event thread; never waits. */
public interface EventSink {
    /** Takes nothing: records are off, and nobody needs to make an event for it. */
    EventSink NONE = new EventSink() {
        @Override
        public void record(long unixUs, Event event) {}
    };

    /**
     * Records an event.
     *
     * @param unixUs when it happened
     * @param event the event
     */
    void record(long unixUs, Event event);

    /**
     * The heap that the process uses, for {@link Event.Heartbeat}.
     *
     * @return bytes; 0 where the heap is not the proxy's own, as of an emulated proxy
     */
    default long heapBytes() {
        return 0;
    }

    /** Writes the events recorded so far, within a bounded time, and ends the sink. */
    default void close() {}
}
