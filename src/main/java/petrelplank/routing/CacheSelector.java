package petrelplank.routing;

import java.util.Comparator;
import java.util.List;

/**
 * Selects the cache for a request by weighted rendezvous hashing of the object's part over the eligible caches. A
 * popular object is widened to two or three caches, of which the least loaded takes it. The share of a cache in slow
 * start rises in a line; one with no budget left passes to the next, one at its limit to those with room.
 */
final class CacheSelector {
    /** An object takes a cache more whenever its share of requests, times the caches, passes this. */
    private static final double SHARE_PER_CACHE = 0.15;

    private static final int MAX_WIDTH = 3;
    private static final Comparator<Endpoint> BY_SCORE =
            Comparator.comparingDouble(endpoint -> endpoint.rendezvousScore);

    private final EligibleEndpoints eligible;
    private final SlowStart slowStart;
    private final ObjectPopularity popularity;
    private final TransferTimeEstimator transferTimes;

    CacheSelector(
            EligibleEndpoints eligible,
            SlowStart slowStart,
            ObjectPopularity popularity,
            TransferTimeEstimator transferTimes) {
        this.eligible = eligible;
        this.slowStart = slowStart;
        this.popularity = popularity;
        this.transferTimes = transferTimes;
    }

    /** The cache for the next attempt; null where none may take it. Notes whether one was passed by at its limit. */
    Endpoint select(RequestState request, long now) {
        List<Endpoint> caches = byScore(request, now);
        request.cacheAtLimit = false;
        int width = Math.min(MAX_WIDTH, 1 + (int) (popularity.share(request.key) * caches.size() / SHARE_PER_CACHE));
        Endpoint best = null;
        for (int i = 0; i < caches.size() && (i < width || best == null); i++) {
            Endpoint cache = caches.get(i);
            if (i >= width && request.cacheAtLimit && !tellsOfRoom(cache)) {
                continue;
            }
            if (!slowStart.canAfford(cache, transferTimes.classMeanUs(request.classIndex), now)) {
                continue;
            }
            boolean hasRoom = ConcurrencyLimiter.mayTake(cache, request);
            request.cacheAtLimit |= !hasRoom;
            if (hasRoom && (best == null || load(cache) < load(best))) {
                best = cache;
            }
        }
        return best;
    }

    private List<Endpoint> byScore(RequestState request, long now) {
        List<Endpoint> caches = eligible.edges(request, now);
        for (Endpoint cache : caches) {
            double hash = Hash.unit(Hash.mix(request.key ^ cache.hash));
            cache.rendezvousScore = cache.weight * slowStart.capacityFraction(cache, now) / Math.log(hash);
        }
        caches.sort(BY_SCORE);
        return caches;
    }

    /** Whether a cache may take objects of those at their limit: it is known to have room. */
    private static boolean tellsOfRoom(Endpoint cache) {
        return !(cache.reportedLoad.inFlight < 0 || cache.reportedLoad.inFlight > cache.weight);
    }

    private static double load(Endpoint cache) {
        return cache.inFlightTransferUs / cache.weight;
    }
}
