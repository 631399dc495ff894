package petrelplank.analysis;

/**
 * Calls of the origin in one second.
 *
 * @param calls all calls
 * @param failed those that failed
 */
public record OriginCallCounts(long calls, long failed) {
    /** A second without calls. */
    public static final OriginCallCounts NONE = new OriginCallCounts(0, 0);

    OriginCallCounts plus(OriginCallCounts other) {
        return new OriginCallCounts(calls + other.calls, failed + other.failed);
    }
}
