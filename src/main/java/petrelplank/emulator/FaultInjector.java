package petrelplank.emulator;

import petrelplank.routing.Hash;

/**
 * Schedules the faults of a scenario, and notes them in the ground truth: all but the planned changes of the fleet,
 * and outside load, which the origin notes where it stops under it.
 */
final class FaultInjector {
    private static final int HOT_OBJECT_SEED_OFFSET = 77;

    private final EventScheduler clock;
    private final Scenario scenario;
    private final long hotObject;
    private final CacheFaults cacheFaults;
    private final ProxyFleet proxies;
    private final DiscoveryService discovery;
    private final PurgeService purges;
    private final OriginServer origin;
    private final Catalogue catalogue;
    private final GroundTruthRecorder truth;

    FaultInjector(SimulatedFleet fleet) {
        this.clock = fleet.clock();
        this.scenario = fleet.scenario();
        this.hotObject = Hash.mix(fleet.seed() + HOT_OBJECT_SEED_OFFSET);
        this.cacheFaults = new CacheFaults(clock, fleet.caches(), fleet.discovery());
        this.proxies = fleet.proxies();
        this.discovery = fleet.discovery();
        this.purges = fleet.purges();
        this.origin = fleet.origin();
        this.catalogue = fleet.catalogue();
        this.truth = fleet.truth();
    }

    void scheduleAll() {
        for (Fault fault : scenario.faults()) {
            schedule(fault);
            if (isNoted(fault.kind())) {
                truth.injected(fault);
            }
        }
    }

    private static boolean isNoted(FaultKind kind) {
        return kind != FaultKind.DRAIN && kind != FaultKind.REPLACE && kind != FaultKind.OUTSIDE_LOAD;
    }

    private void schedule(Fault fault) {
        switch (fault.kind()) {
            case SILENT -> cacheFaults.silence(fault);
            case FAST_FAILURES -> cacheFaults.failFast(fault);
            case LOST -> cacheFaults.lose(fault);
            case DRAIN -> cacheFaults.drain(fault);
            case REPLACE -> cacheFaults.replace(fault);
            case CROWDED_LINK -> cacheFaults.crowdLinks(fault);
            case RESTART -> restartProxies(fault);
            case PURGE -> clock.at(fault.startUnixUs(), () -> purges.purgeGroups(fault.share()));
            case HOT_OBJECT ->
                during(fault, () -> catalogue.startHotObject(hotObject, fault.share()), catalogue::endHotObject);
            case SLOW_ORIGIN -> during(fault, () -> origin.setSlowdown(fault.share()), () -> origin.setSlowdown(1));
            case OUTSIDE_LOAD -> {
                double callsPerSecond = fault.share() * scenario.capacity().originPerSecond();
                during(fault, () -> origin.startOutsideLoad(callsPerSecond), origin::endOutsideLoad);
            }
            case LATE_DISCOVERY -> clock.at(fault.startUnixUs(), () -> discovery.holdUntil(fault.endUnixUs()));
            default -> throw new IllegalStateException(fault.kind().toString());
        }
    }

    private void during(Fault fault, Runnable onStart, Runnable onEnd) {
        clock.at(fault.startUnixUs(), onStart);
        clock.at(fault.endUnixUs(), onEnd);
    }

    private void restartProxies(Fault fault) {
        for (String name : fault.servers()) {
            during(fault, () -> proxies.kill(name), () -> proxies.restart(name));
        }
    }
}
