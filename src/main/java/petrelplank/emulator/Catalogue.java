package petrelplank.emulator;

import java.util.HashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import petrelplank.routing.Hash;
import petrelplank.routing.ServiceClass;

/** The objects that clients request, with their service class, purge group, size and popularity. */
final class Catalogue {
    private static final double MEDIA_SHARE = 0.3;
    private static final double WRITE_SHARE = 0.03;
    private static final long HOT_OBJECT_BYTES = 200_000;
    private static final int WRITE_BYTES = 1_024;
    private static final double MEDIAN_MEDIA_BYTES = 90_000;
    private static final double MEDIAN_PAGE_BYTES = 12_000;
    /** Standard deviation of the natural logarithm of object sizes. */
    private static final double LOG_SIZE_DEVIATION = 0.6;

    private static final int MIN_BYTES = 1_024;
    /** Largest object that the protocol can carry. */
    private static final int MAX_BYTES = 240_000;

    /**
     * A requested object.
     *
     * @param serviceClass service class of the request
     * @param object id of the object
     */
    record Item(ServiceClass serviceClass, long object) {}

    private final UniformRandomProvider random;
    private final DiscreteSampler popularityRanks;
    private final int groups;
    private final Map<Long, Long> bytesByObject = new HashMap<>();
    /** The hot object, or null while there is none. */
    private Long hotObject;
    /** Share of the reads that request the hot object. */
    private double hotShare;

    Catalogue(Workload workload, UniformRandomProvider random) {
        this.random = random;
        this.popularityRanks = RejectionInversionZipfSampler.of(random, workload.objects(), workload.skew());
        this.groups = workload.groups();
    }

    /** Directs a share of the reads to a new object. It is large, so its share of the transferred bytes is higher. */
    void startHotObject(long object, double share) {
        hotObject = object;
        hotShare = share;
    }

    void endHotObject() {
        hotObject = null;
        hotShare = 0;
    }

    /** Draws the object of the next client request, by popularity. */
    Item draw() {
        if (random.nextDouble() < WRITE_SHARE) {
            return new Item(TrafficClasses.STOCK_MOVES, random.nextLong());
        }
        if (hotObject != null && random.nextDouble() < hotShare) {
            return new Item(TrafficClasses.MEDIA, hotObject);
        }
        int rank = popularityRanks.sample();
        // The service class is derived from a hash of the rank, so that an object always has the same one.
        boolean media = Hash.toUnitInterval(Hash.mix(rank)) < MEDIA_SHARE;
        return new Item(media ? TrafficClasses.MEDIA : TrafficClasses.PAGES, Hash.mix(rank * 31L + 7));
    }

    /** Returns the purge group of an object. */
    int group(long object) {
        return (int) Long.remainderUnsigned(Hash.mix(object ^ 0x5eed), groups);
    }

    int groups() {
        return groups;
    }

    /** Returns the size of an item as transferred, which is rounded up to whole KiB. */
    long transferBytes(Item item) {
        return (bytes(item) + TrafficClasses.KIB - 1) / TrafficClasses.KIB * TrafficClasses.KIB;
    }

    private long bytes(Item item) {
        if (item.serviceClass().write()) {
            return WRITE_BYTES;
        }
        if (hotObject != null && item.object() == hotObject) {
            return HOT_OBJECT_BYTES;
        }
        return bytesByObject.computeIfAbsent(item.object(), object -> drawBytes(item));
    }

    /** Draws a log-normal size from a generator seeded with the object, so that each object always has one size. */
    private static long drawBytes(Item item) {
        double medianBytes = item.serviceClass() == TrafficClasses.MEDIA ? MEDIAN_MEDIA_BYTES : MEDIAN_PAGE_BYTES;
        double drawnBytes = LogNormalSampler.of(
                        ZigguratSampler.NormalizedGaussian.of(RandomSource.SPLIT_MIX_64.create(item.object())),
                        Math.log(medianBytes),
                        LOG_SIZE_DEVIATION)
                .sample();
        return (long) Math.max(MIN_BYTES, Math.min(MAX_BYTES, drawnBytes));
    }
}
