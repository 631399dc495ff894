package petrelplank.emulator;

/**
 * Runs a scenario in simulated time. The proxies run the production code; clients, caches, parent caches, the origin
 * and the discovery service are models. The same scenario and seed produce the same run.
 */
public final class Simulation {
    /** Simulated time that the run continues after the last request, so that all requests can complete. */
    private static final long COMPLETION_PERIOD_US = 8_000_000;

    private final Scenario scenario;
    private final long seed;
    private final SimulatedFleet fleet;

    /**
     * Creates a fleet that is ready to run.
     *
     * @param scenario the scenario to run
     * @param seed the seed of all random numbers
     * @param sinks creates the record sink of each incarnation of a proxy
     */
    public Simulation(Scenario scenario, long seed, SinkFactory sinks) {
        this.scenario = scenario;
        this.seed = seed;
        this.fleet = SimulatedFleet.build(scenario, seed, sinks);
    }

    /**
     * Runs the scenario to its end.
     *
     * @return the ground truth of the run
     */
    public GroundTruth run() {
        Workload workload = scenario.workload();
        new FaultInjector(fleet).scheduleAll();
        fleet.clients().start(workload.requestsPerSecond(), scenario.endUnixUs());
        fleet.purges().startBackgroundPurges(workload.purgesPerSecond(), scenario.endUnixUs());
        fleet.clock().runUntil(scenario.endUnixUs() + COMPLETION_PERIOD_US);
        fleet.proxies().finishAll();
        return fleet.truth().toGroundTruth(scenario.name(), seed);
    }

    /**
     * Returns the number of requests that clients have sent so far.
     *
     * @return the number of requests
     */
    public long requests() {
        return fleet.clients().requests();
    }

    /**
     * Returns the number of scheduled tasks that have run so far.
     *
     * @return the number of tasks
     */
    public long tasksRun() {
        return fleet.clock().tasksRun();
    }
}
