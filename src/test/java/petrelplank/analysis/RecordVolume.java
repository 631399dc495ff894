package petrelplank.analysis;

import java.nio.file.Path;
import petrelplank.emulator.Scenario;
import petrelplank.emulator.Simulation;
import petrelplank.record.DirectSink;
import petrelplank.record.RecordSettings;
import petrelplank.yaml.Yaml;

/** Writes records of a chosen size for long measurements; see docs/measurements.md. */
final class RecordVolume {
    private static final long MAX_FILE_BYTES = 1L << 30;
    private static final long MAX_FILE_US = 3_600_000_000L;
    private static final long MAX_DIRECTORY_BYTES = 1L << 40;
    private static final int QUEUE_LENGTH = 16;
    private static final int FLUSH_US = 500_000;

    private RecordVolume() {}

    private static Scenario scenario(String requestsPerSecond, String seconds) {
        return Scenario.of(Yaml.read(
                "volume",
                "name: volume\nlength: " + seconds + "s\nrequests-per-second: " + requestsPerSecond
                        + "\ncache-weight: 60\nhub-cache-weight: 160\nlink-weight: 200\ncentral-per-second: 4000\n"));
    }

    /**
     * Writes the records.
     *
     * @param args directory, requests a second, seconds
     */
    public static void main(String[] args) {
        RecordSettings settings = new RecordSettings(
                Path.of(args[0]), MAX_FILE_BYTES, MAX_FILE_US, MAX_DIRECTORY_BYTES, QUEUE_LENGTH, FLUSH_US, false);
        long startNs = System.nanoTime();
        Simulation simulation = new Simulation(
                scenario(args[1], args[2]), 1, (proxy, incarnation) -> new DirectSink(settings, proxy, incarnation));
        simulation.run();
        System.out.printf(
                "%,d requests, %,d events in %.1f s%n",
                simulation.requests(), simulation.tasksRun(), (System.nanoTime() - startNs) / 1e9);
    }
}
