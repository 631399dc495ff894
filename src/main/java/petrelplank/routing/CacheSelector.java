package petrelplank.routing;

import java.util.Comparator;
import java.util.List;

/**
 * Selects the cache for a request by weighted rendezvous hashing of the object part over the eligible caches. A popular
 * object is spread over two or three caches, and the least loaded of them takes the request. The weight of a cache in
 * slow start rises linearly. A cache without slow-start budget is skipped for the next one in the order; a cache at its
 * concurrency limit is skipped for caches that report spare capacity.
 */
final class CacheSelector {
    /** An object gets an additional cache for each multiple of this in its share of requests times the cache count. */
    private static final double REQUEST_SHARE_PER_CACHE = 0.15;

    private static final int MAX_CACHES_PER_OBJECT = 3;
    private static final Comparator<Endpoint> BY_SCORE =
            Comparator.comparingDouble(endpoint -> endpoint.rendezvousScore);

    private final EligibleEndpoints eligibleEndpoints;
    private final SlowStart slowStart;
    private final ObjectPopularity popularity;
    private final TransferTimeEstimator transferTimes;

    CacheSelector(
            EligibleEndpoints eligibleEndpoints,
            SlowStart slowStart,
            ObjectPopularity popularity,
            TransferTimeEstimator transferTimes) {
        this.eligibleEndpoints = eligibleEndpoints;
        this.slowStart = slowStart;
        this.popularity = popularity;
        this.transferTimes = transferTimes;
    }

    /**
     * Returns the cache for the next attempt, or null if none can take it. Sets {@code request.cacheAtLimit} if a cache
     * was skipped because it is at its concurrency limit.
     */
    Endpoint select(RequestState request, long now) {
        List<Endpoint> caches = cachesByScore(request, now);
        request.cacheAtLimit = false;
        int objectCacheCount = Math.min(
                MAX_CACHES_PER_OBJECT,
                1 + (int) (popularity.share(request.objectKey) * caches.size() / REQUEST_SHARE_PER_CACHE));
        Endpoint best = null;
        for (int i = 0; i < caches.size() && (i < objectCacheCount || best == null); i++) {
            Endpoint cache = caches.get(i);
            if (i >= objectCacheCount && request.cacheAtLimit && !isWithinReportedCapacity(cache)) {
                continue;
            }
            if (!slowStart.canAfford(cache, transferTimes.meanTransferUs(request.classIndex), now)) {
                continue;
            }
            boolean hasRoom = ConcurrencyLimiter.mayAccept(cache, request);
            request.cacheAtLimit |= !hasRoom;
            if (hasRoom && (best == null || inFlightLoad(cache) < inFlightLoad(best))) {
                best = cache;
            }
        }
        return best;
    }

    private List<Endpoint> cachesByScore(RequestState request, long now) {
        List<Endpoint> caches = eligibleEndpoints.caches(request, now);
        for (Endpoint cache : caches) {
            double hash = Hash.toUnitInterval(Hash.mix(request.objectKey ^ cache.hash));
            cache.rendezvousScore = cache.weight * slowStart.capacityFraction(cache, now) / Math.log(hash);
        }
        caches.sort(BY_SCORE);
        return caches;
    }

    /** Whether the cache may take over objects of a cache at its limit: it must report spare capacity. */
    private static boolean isWithinReportedCapacity(Endpoint cache) {
        return !(cache.reportedLoad.inFlight < 0 || cache.reportedLoad.inFlight > cache.weight);
    }

    private static double inFlightLoad(Endpoint cache) {
        return cache.inFlightTransferUs / cache.weight;
    }
}
