package petrelplank.emulator;

import org.apache.commons.rng.UniformRandomProvider;

/** Purges objects and groups: notifies the proxies, and drops the copies that caches hold a while later. */
final class PurgeService {
    private static final long MIN_DELAY_US = 50_000;
    private static final int DELAY_SPREAD_US = 2_000_000;
    private static final long MS = 1_000;

    private final EventScheduler clock;
    private final UniformRandomProvider random;
    private final Catalogue catalogue;
    private final CacheFleet caches;
    private final DiscoveryService discovery;

    PurgeService(
            EventScheduler clock,
            UniformRandomProvider random,
            Catalogue catalogue,
            CacheFleet caches,
            DiscoveryService discovery) {
        this.clock = clock;
        this.random = random;
        this.catalogue = catalogue;
        this.caches = caches;
        this.discovery = discovery;
    }

    /** Purges single objects in the ordinary course, as popular as those that clients ask for. */
    void startOrdinaryPurges(double perSecond, long endUs) {
        if (perSecond > 0) {
            Runnable purge = () -> purge(PurgeTarget.ofObject(catalogue.draw().object()));
            new PoissonProcess(clock, random, perSecond, 0, endUs, purge).start();
        }
    }

    /** Purges the first groups, up to a share of all. */
    void purgeGroups(double share) {
        for (int group = 0; group < Math.round(share * catalogue.groups()); group++) {
            purge(PurgeTarget.ofGroup(group));
        }
    }

    private void purge(PurgeTarget target) {
        // Events of the discovery service tell the time in milliseconds.
        long unixMs = clock.nowUs() / MS;
        discovery.publishPurge(target, unixMs);
        for (CacheNode node : caches.nodes()) {
            clock.after(
                    MIN_DELAY_US + random.nextInt(DELAY_SPREAD_US),
                    () -> node.storage().purge(target, unixMs * MS));
        }
    }
}
