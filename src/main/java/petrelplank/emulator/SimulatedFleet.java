package petrelplank.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The components of an emulated fleet, connected to each other.
 *
 * @param scenario the emulated scenario
 * @param seed the seed of all random numbers
 * @param clock the scheduler, which also keeps simulated time
 * @param truth collects the ground truth
 * @param catalogue the objects that clients request
 * @param origin the origin
 * @param caches the caches and parent caches
 * @param discovery the discovery service
 * @param proxies the proxies
 * @param purges the service that purges objects and groups
 * @param clients the clients
 */
record SimulatedFleet(
        Scenario scenario,
        long seed,
        EventScheduler clock,
        GroundTruthRecorder truth,
        Catalogue catalogue,
        OriginServer origin,
        CacheFleet caches,
        DiscoveryService discovery,
        ProxyFleet proxies,
        PurgeService purges,
        ClientLoad clients) {
    /**
     * The offsets are far apart, so that a generator of one scenario seed doesn't coincide with a generator of another
     * scenario seed close to it.
     */
    private static final long NETWORK_SEED_OFFSET = 1_000_000_007L;

    private static final long CATALOGUE_SEED_OFFSET = 2_000_000_014L;
    private static final long ORIGIN_SEED_OFFSET = 3_000_000_021L;

    /** Builds a fleet with warm caches and started proxies; no client request or fault is scheduled yet. */
    static SimulatedFleet build(Scenario scenario, long seed, SinkFactory sinks) {
        EventScheduler clock = new EventScheduler();
        UniformRandomProvider random = random(seed);
        Catalogue catalogue = new Catalogue(scenario.workload(), random(seed + CATALOGUE_SEED_OFFSET));
        GroundTruthRecorder truth = new GroundTruthRecorder(catalogue);
        OriginServer origin = new OriginServer(clock, scenario.capacity(), random(seed + ORIGIN_SEED_OFFSET), truth);
        CacheFleet caches = new CacheFleet(clock, scenario.topology(), scenario.capacity(), random);
        caches.warm(catalogue, scenario.workload().objects());
        DiscoveryService discovery = new DiscoveryService(clock, random, truth, caches);
        OpenRequests openRequests = new OpenRequests();
        Network network =
                new Network(clock, random(seed + NETWORK_SEED_OFFSET), catalogue, openRequests, caches, origin, truth);
        ProxyFleet proxies = new ProxyFleet(clock, scenario, seed, network, discovery, truth, sinks);
        proxies.startAll();
        PurgeService purges = new PurgeService(clock, random, catalogue, caches, discovery);
        ClientLoad clients = new ClientLoad(clock, seed, random, catalogue, openRequests, proxies, truth);
        return new SimulatedFleet(
                scenario, seed, clock, truth, catalogue, origin, caches, discovery, proxies, purges, clients);
    }

    private static UniformRandomProvider random(long seed) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }
}
