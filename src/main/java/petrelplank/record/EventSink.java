package petrelplank.record;

/** Takes events, from the event thread; never waits. */
public interface EventSink {
    /** Takes nothing: records are off, and nobody needs to make an event for it. */
    EventSink NONE = new EventSink() {
        @Override
        public void record(long unixUs, Event event) {}
    };

    /**
     * Writes an event down.
     *
     * @param unixUs when
     * @param event what
     */
    void record(long unixUs, Event event);

    /**
     * The memory that the process uses, for {@link Event.Heartbeat}.
     *
     * @return bytes; 0 where it is another's to know, as of an emulated front
     */
    default long heapBytes() {
        return 0;
    }

    /** Ends it: what was taken is written, within a bounded time. */
    default void close() {}
}
