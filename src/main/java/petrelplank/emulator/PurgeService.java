package petrelplank.emulator;

import org.apache.commons.rng.UniformRandomProvider;

/** Purges objects and groups: notifies the proxies, and deletes the cached copies after a random delay. */
final class PurgeService {
    private static final long MIN_CACHE_PURGE_DELAY_US = 50_000;
    private static final int CACHE_PURGE_JITTER_US = 2_000_000;
    private static final long US_PER_MS = 1_000;

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

    /** Starts the background purges of single objects, drawn with the same popularity as client requests. */
    void startBackgroundPurges(double perSecond, long endUs) {
        if (perSecond > 0) {
            Runnable purge = () -> purge(PurgeTarget.ofObject(catalogue.draw().object()));
            new PoissonProcess(clock, random, perSecond, 0, endUs, purge).start();
        }
    }

    /** Purges the given share of all groups, in order from the first. */
    void purgeGroups(double share) {
        for (int group = 0; group < Math.round(share * catalogue.groups()); group++) {
            purge(PurgeTarget.ofGroup(group));
        }
    }

    private void purge(PurgeTarget target) {
        // Purge events carry milliseconds, so caches must use the same truncated time.
        long unixMs = clock.nowUs() / US_PER_MS;
        discovery.publishPurge(target, unixMs);
        for (CacheNode node : caches.nodes()) {
            clock.after(
                    MIN_CACHE_PURGE_DELAY_US + random.nextInt(CACHE_PURGE_JITTER_US),
                    () -> node.storage().purge(target, unixMs * US_PER_MS));
        }
    }
}
