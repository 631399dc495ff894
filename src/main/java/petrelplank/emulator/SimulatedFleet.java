package petrelplank.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * All parts of an emulated fleet at rest, wired together.
 *
 * @param scenario what is emulated
 * @param seed of all random numbers
 * @param clock simulated time
 * @param truth what happens
 * @param catalogue what clients ask for
 * @param origin the origin
 * @param caches caches and parent caches
 * @param discovery the discovery service
 * @param proxies the proxies
 * @param purges purges objects
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
    /** Far apart, so that the generators of one seed are not those of another one. */
    private static final long NETWORK_SEED_OFFSET = 1_000_000_007L;

    private static final long CATALOGUE_SEED_OFFSET = 2_000_000_014L;
    private static final long ORIGIN_SEED_OFFSET = 3_000_000_021L;

    /** Builds a fleet whose caches are warm and whose proxies have started. */
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
