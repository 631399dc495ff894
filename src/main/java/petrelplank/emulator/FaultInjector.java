package petrelplank.emulator;

import petrelplank.routing.Hash;

/**
 * Schedules the faults of a scenario and records them in the ground truth. Two groups are not recorded here: planned
 * changes of the fleet are no faults, and outside load is recorded by the origin, and only if it stops under it.
 */
final class FaultInjector {
    private static final int HOT_OBJECT_SEED_OFFSET = 77;

    private final SimulatedFleet fleet;
    private final EventScheduler clock;
    private final CacheFaults cacheFaults;

    FaultInjector(SimulatedFleet fleet) {
        this.fleet = fleet;
        this.clock = fleet.clock();
        this.cacheFaults = new CacheFaults(clock, fleet.caches(), fleet.discovery());
    }

    void scheduleAll() {
        for (Fault fault : fleet.scenario().faults()) {
            schedule(fault);
            if (isRecordedOnInjection(fault.kind())) {
                fleet.truth().faultInjected(fault);
            }
        }
    }

    private static boolean isRecordedOnInjection(FaultKind kind) {
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
            case PURGE -> clock.at(fault.startUnixUs(), () -> fleet.purges().purgeGroups(fault.share()));
            case HOT_OBJECT -> addHotObject(fault);
            case SLOW_ORIGIN -> slowDownOrigin(fault);
            case OUTSIDE_LOAD -> addOutsideLoad(fault);
            case LATE_DISCOVERY ->
                clock.at(fault.startUnixUs(), () -> fleet.discovery().pauseDeliveryUntil(fault.endUnixUs()));
            default -> throw new IllegalStateException(fault.kind().toString());
        }
    }

    private void restartProxies(Fault fault) {
        for (String name : fault.servers()) {
            scheduleStartAndEnd(
                    fault,
                    () -> fleet.proxies().kill(name),
                    () -> fleet.proxies().restart(name));
        }
    }

    private void addHotObject(Fault fault) {
        long object = Hash.mix(fleet.seed() + HOT_OBJECT_SEED_OFFSET);
        Catalogue catalogue = fleet.catalogue();
        scheduleStartAndEnd(fault, () -> catalogue.startHotObject(object, fault.share()), catalogue::endHotObject);
    }

    private void slowDownOrigin(Fault fault) {
        OriginServer origin = fleet.origin();
        scheduleStartAndEnd(fault, () -> origin.setSlowdown(fault.share()), () -> origin.setSlowdown(1));
    }

    private void addOutsideLoad(Fault fault) {
        OriginServer origin = fleet.origin();
        double callsPerSecond = fault.share() * fleet.scenario().capacity().originPerSecond();
        scheduleStartAndEnd(fault, () -> origin.startOutsideLoad(callsPerSecond), origin::endOutsideLoad);
    }

    private void scheduleStartAndEnd(Fault fault, Runnable onStart, Runnable onEnd) {
        clock.at(fault.startUnixUs(), onStart);
        clock.at(fault.endUnixUs(), onEnd);
    }
}
