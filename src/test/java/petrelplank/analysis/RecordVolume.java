package petrelplank.analysis;

import java.nio.file.Path;
import petrelplank.emulator.Scenario;
import petrelplank.emulator.Simulation;
import petrelplank.record.DirectSink;
import petrelplank.record.RecordSettings;
import petrelplank.yaml.Yaml;

/** Writes records of a chosen size for long measurements; see docs/measurements.md. */
final class RecordVolume {
    private RecordVolume() {}

    /** Arguments: directory, requests a second, seconds. */
    public static void main(String[] args) {
        Scenario s = Scenario.of(Yaml.read(
                "volume",
                "name: volume\nlength: " + args[2] + "s\nrequests-per-second: " + args[1]
                        + "\ncache-weight: 60\nhub-cache-weight: 160\nlink-weight: 200\ncentral-per-second: 4000\n"));
        long from = System.nanoTime();
        Simulation world = new Simulation(
                s,
                1,
                (front, life) -> new DirectSink(
                        new RecordSettings(Path.of(args[0]), 1L << 30, 3_600_000_000L, 1L << 40, 16, 500_000, false),
                        front,
                        life));
        world.run();
        System.out.printf(
                "%,d requests, %,d events in %.1f s%n",
                world.requests(), world.happened(), (System.nanoTime() - from) / 1e9);
    }
}
