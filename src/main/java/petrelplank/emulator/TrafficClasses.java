package petrelplank.emulator;

import java.util.List;
import petrelplank.routing.Idempotency;
import petrelplank.routing.IdempotencyScope;
import petrelplank.routing.ServiceClass;

/** The service classes of the emulated clients, and the speed at which a client receives a response. */
final class TrafficClasses {
    /** Maximum speed of one response in KiB per second, the unit of the proxy settings. */
    static final double FLOW_KB_PER_SECOND = 2_000;

    static final int KIB = 1_024;
    /** Maximum speed of one response to a client in bytes per microsecond. */
    static final double FLOW_BYTES_PER_US = FLOW_KB_PER_SECOND * KIB / 1e6;

    private static final long US_PER_MS = 1_000;
    private static final double STALE_WEIGHT_FACTOR = 0.7;

    static final ServiceClass MEDIA = readClass("media", 500 * US_PER_MS, 6_000 * US_PER_MS, 2, 0.15);
    static final ServiceClass PAGES = readClass("pages", 400 * US_PER_MS, 3_000 * US_PER_MS, 1, 0.2);
    static final ServiceClass STOCK_MOVES = new ServiceClass(
            "stock-move",
            700 * US_PER_MS,
            0,
            3_000 * US_PER_MS,
            3,
            0,
            Idempotency.NON_IDEMPOTENT,
            IdempotencyScope.ALL,
            5_000 * US_PER_MS,
            false,
            0,
            0,
            STALE_WEIGHT_FACTOR,
            true);

    static final List<ServiceClass> ALL = List.of(MEDIA, PAGES, STOCK_MOVES);

    private TrafficClasses() {}

    private static ServiceClass readClass(
            String name, long latencyObjectiveUs, long deadlineUs, double priorityWeight, double lateWeightFactor) {
        return new ServiceClass(
                name,
                latencyObjectiveUs,
                2,
                deadlineUs,
                priorityWeight,
                lateWeightFactor,
                Idempotency.IDEMPOTENT,
                IdempotencyScope.ALL,
                5_000 * US_PER_MS,
                false,
                0,
                0,
                STALE_WEIGHT_FACTOR,
                false);
    }
}
