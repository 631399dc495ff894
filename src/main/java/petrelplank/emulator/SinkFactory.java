package petrelplank.emulator;

import petrelplank.record.EventSink;

/** Makes the sink that takes the records of one run of a proxy. */
@FunctionalInterface
public interface SinkFactory {
    /**
     * A sink for a run that starts now.
     *
     * @param proxy the proxy's name
     * @param incarnation the run's random number
     * @return the sink; {@link EventSink#NONE} where no records are kept
     */
    EventSink create(String proxy, long incarnation);
}
