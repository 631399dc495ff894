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

/** What clients ask for: objects with their class, group, size and popularity. */
final class Catalogue {
    private static final double MEDIA_SHARE = 0.3;
    private static final double WRITE_SHARE = 0.03;
    private static final long HOT_OBJECT_BYTES = 200_000;
    private static final int WRITE_BYTES = 1_024;
    private static final double MEDIAN_MEDIA_BYTES = 90_000;
    private static final double MEDIAN_PAGE_BYTES = 12_000;
    /** The standard deviation of the logarithm of sizes. */
    private static final double LOG_SIZE_DEVIATION = 0.6;

    private static final int MIN_BYTES = 1_024;
    /** What the protocol carries at most. */
    private static final int MAX_BYTES = 240_000;

    /**
     * Something to ask for.
     *
     * @param serviceClass its class
     * @param object the object
     */
    record Item(ServiceClass serviceClass, long object) {}

    private final UniformRandomProvider random;
    private final DiscreteSampler ranks;
    private final int groups;
    private final Map<Long, Long> sizes = new HashMap<>();
    /** The hot object; null while there is none. */
    private Long hotObject;

    private double hotShare;

    Catalogue(Workload workload, UniformRandomProvider random) {
        this.random = random;
        this.ranks = RejectionInversionZipfSampler.of(random, workload.objects(), workload.skew());
        this.groups = workload.groups();
    }

    /** From now on a new object draws a share of the reads; its share of the bytes is somewhat larger. */
    void startHotObject(long object, double share) {
        hotObject = object;
        hotShare = share;
    }

    void endHotObject() {
        hotObject = null;
        hotShare = 0;
    }

    Item draw() {
        if (random.nextDouble() < WRITE_SHARE) {
            return new Item(TrafficClasses.STOCK_MOVES, random.nextLong());
        }
        if (hotObject != null && random.nextDouble() < hotShare) {
            return new Item(TrafficClasses.MEDIA, hotObject);
        }
        int rank = ranks.sample();
        // An object's class never changes: it follows from a hash of its rank.
        boolean media = Hash.toUnitInterval(Hash.mix(rank)) < MEDIA_SHARE;
        return new Item(media ? TrafficClasses.MEDIA : TrafficClasses.PAGES, Hash.mix(rank * 31L + 7));
    }

    int group(long object) {
        return (int) Long.remainderUnsigned(Hash.mix(object ^ 0x5eed), groups);
    }

    int groups() {
        return groups;
    }

    /** The size of an item as it is transferred: in whole KiB. */
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
        return sizes.computeIfAbsent(item.object(), object -> drawBytes(item));
    }

    /** Sizes are log-normal, each drawn from a generator that the object itself seeds. */
    private static long drawBytes(Item item) {
        double median = item.serviceClass() == TrafficClasses.MEDIA ? MEDIAN_MEDIA_BYTES : MEDIAN_PAGE_BYTES;
        double drawn = LogNormalSampler.of(
                        ZigguratSampler.NormalizedGaussian.of(RandomSource.SPLIT_MIX_64.create(item.object())),
                        Math.log(median),
                        LOG_SIZE_DEVIATION)
                .sample();
        return (long) Math.max(MIN_BYTES, Math.min(MAX_BYTES, drawn));
    }
}
