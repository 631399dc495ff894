package petrelplank.analysis;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import petrelplank.emulator.GroundTruth;
import petrelplank.emulator.Scenario;
import petrelplank.emulator.Simulation;
import petrelplank.record.Entry;

/**
 * An emulated incident, its records kept in memory.
 *
 * @param entries the records of all proxies, in the order in which they were made
 * @param truth what happened
 */
record Emulated(List<Entry> entries, GroundTruth truth) {
    /**
     * Held, since the platform forgets the level of a logger that nobody holds. Off, since log lines of emulated
     * proxies carry the wrong time.
     */
    private static final Logger PROXY_LOGGER = Logger.getLogger("petrelplank.proxy");

    static Emulated of(String scenario, long seed) throws IOException {
        return of(Scenario.of(scenario), seed);
    }

    static Emulated of(Scenario scenario, long seed) {
        PROXY_LOGGER.setLevel(Level.OFF);
        List<Entry> entries = new ArrayList<>();
        Simulation simulation = new Simulation(scenario, seed, (proxy, incarnation) -> {
            long[] nextNumber = {0};
            return (unixUs, event) -> entries.add(new Entry(proxy, incarnation, nextNumber[0]++, unixUs, event));
        });
        GroundTruth truth = simulation.run();
        return new Emulated(entries, truth);
    }

    static IncidentTimeline course(List<Entry> entries) {
        RecordAggregator aggregator = new RecordAggregator();
        entries.forEach(aggregator::add);
        return new IncidentTimeline(aggregator);
    }
}
