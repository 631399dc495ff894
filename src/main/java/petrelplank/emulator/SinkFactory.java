package petrelplank.emulator;

import petrelplank.record.EventSink;

/** Creates the sink that receives the records of one incarnation of a proxy. */
@FunctionalInterface
public interface SinkFactory {
    /**
     * Creates the sink of an incarnation that is about to start.
     *
     * @param proxy the proxy's name
     * @param incarnation the random number of the incarnation
     * @return the sink; {@link EventSink#NONE} to discard the records
     */
    EventSink create(String proxy, long incarnation);
}
