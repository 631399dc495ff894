package petrelplank.emulator;

/**
 * Plays a scenario in simulated time. The proxies are the production code; clients, caches, parent caches, the origin
 * and the discovery service are models. The same scenario and seed give the same run.
 */
public final class Simulation {
    /** Time after the last request, so that all requests come to their ends. */
    private static final long TAIL_US = 8_000_000;

    private final Scenario scenario;
    private final long seed;
    private final SimulatedFleet fleet;

    /**
     * A fleet at rest.
     *
     * @param scenario what is emulated
     * @param seed of all random numbers
     * @param sinks makes the sink for the records of each run of a proxy
     */
    public Simulation(Scenario scenario, long seed, SinkFactory sinks) {
        this.scenario = scenario;
        this.seed = seed;
        this.fleet = SimulatedFleet.build(scenario, seed, sinks);
    }

    /**
     * Plays the scenario to its end.
     *
     * @return what happened
     */
    public GroundTruth run() {
        Workload workload = scenario.workload();
        new FaultInjector(fleet).scheduleAll();
        fleet.clients().start(workload.requestsPerSecond(), scenario.endUnixUs());
        fleet.purges().startOrdinaryPurges(workload.purgesPerSecond(), scenario.endUnixUs());
        fleet.clock().runUntil(scenario.endUnixUs() + TAIL_US);
        fleet.proxies().finishAll();
        return fleet.truth().truth(scenario.name(), seed);
    }

    /**
     * How many requests clients have sent so far.
     *
     * @return the count
     */
    public long requests() {
        return fleet.clients().requests();
    }

    /**
     * How many tasks have run in simulated time so far.
     *
     * @return the count
     */
    public long tasksRun() {
        return fleet.clock().tasksRun();
    }
}
