package petrelplank.emulator;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import petrelplank.routing.Hash;

/** The proxies of a fleet. Holds the latest incarnation of each, which may have been killed. */
final class ProxyFleet {
    private static final long SEED_FACTOR = 1_000_003;

    private final EventScheduler clock;
    private final Scenario scenario;
    private final long seed;
    private final EmulatedProxy.AttemptTransport transport;
    private final DiscoveryService discovery;
    private final GroundTruthRecorder truth;
    private final SinkFactory sinks;
    private final Map<String, EmulatedProxy> proxies = new LinkedHashMap<>();
    private int startCount;

    ProxyFleet(
            EventScheduler clock,
            Scenario scenario,
            long seed,
            EmulatedProxy.AttemptTransport transport,
            DiscoveryService discovery,
            GroundTruthRecorder truth,
            SinkFactory sinks) {
        this.clock = clock;
        this.scenario = scenario;
        this.seed = seed;
        this.transport = transport;
        this.discovery = discovery;
        this.truth = truth;
        this.sinks = sinks;
    }

    void startAll() {
        for (int zone = 1; zone <= scenario.topology().edgeZones(); zone++) {
            for (int number = 1; number <= scenario.topology().proxiesPerZone(); number++) {
                start(ServerNames.proxy(zone, number), ServerNames.edgeZone(zone));
            }
        }
    }

    private void start(String name, String zone) {
        long incarnation = Hash.mix(seed * SEED_FACTOR + ++startCount);
        EmulatedProxy proxy = new EmulatedProxy(
                clock,
                new ProxyIdentity(name, zone, incarnation, clockOffsetUs(incarnation)),
                ProxySettings.forZone(scenario, zone),
                transport,
                truth,
                sinks.create(name, incarnation));
        proxies.put(name, proxy);
        truth.proxyStarted(proxy);
        discovery.subscribe(proxy);
    }

    private long clockOffsetUs(long incarnation) {
        long spreadUs = scenario.clockSpreadUs();
        return spreadUs == 0 ? 0 : Math.floorMod(Hash.mix(incarnation), spreadUs) - spreadUs / 2;
    }

    List<EmulatedProxy> alive() {
        return proxies.values().stream().filter(EmulatedProxy::isAlive).toList();
    }

    void kill(String name) {
        EmulatedProxy proxy = proxies.get(name);
        proxy.kill();
        truth.proxyKilled(proxy);
    }

    /** Starts a new incarnation of a proxy under the same name and in the same zone. */
    void restart(String name) {
        start(name, proxies.get(name).zone());
    }

    void finishAll() {
        for (EmulatedProxy proxy : alive()) {
            proxy.finish();
            truth.proxyFinished(proxy);
        }
    }
}
