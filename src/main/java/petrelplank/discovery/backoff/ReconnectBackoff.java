package petrelplank.discovery.backoff;

import java.util.SplittableRandom;

/**
 * When to reconnect to the discovery service after the stream broke: exponential backoff from
 * {@link #INITIAL_DELAY_US} to {@link #MAX_DELAY_US} with jitter over the upper half of each step, and a token bucket
 * ({@link #BURST} connects at once, one more each {@link #TOKEN_INTERVAL_US}). Proxies that lost the service together,
 * or were started together, so reconnect spread over time instead of in step, and a stream that breaks as soon as it
 * is made costs at most one connect a second.
 *
 * <p>The cap comes from the protocol: an event counts as delivered 7 s after the service sent it, and a dead stream
 * is detected after 2.5 s of silence, so a proxy that reconnects within 2 s more still receives a drain or a purge in
 * time. The backoff is reset only by a stream that has stood for {@link #STABLE_AFTER_US} and delivered a line: one
 * that delivers a line and breaks at once keeps climbing.
 *
 * <p>Decisions and state only: no I/O, no thread, no clock; times are the caller's, in microseconds, and the random
 * numbers come from the seed that it gives. Not thread-safe; the proxy's event thread owns it.
 */
public final class ReconnectBackoff {
    /** The first step after a break, in µs; the jitter makes it 100 to 200 ms. */
    public static final long INITIAL_DELAY_US = 200_000;
    /** The longest step, in µs. */
    public static final long MAX_DELAY_US = 2_000_000;
    /** Capacity of the token bucket: connects that may follow one another without waiting for a token. */
    public static final int BURST = 8;
    /** A token is added each this many µs. */
    public static final long TOKEN_INTERVAL_US = 1_000_000;
    /** A stream that stood this long and delivered a line resets the backoff, in µs. */
    public static final long STABLE_AFTER_US = MAX_DELAY_US;

    /** Doublings beyond this would overflow; the cap is reached long before. */
    private static final int MAX_DOUBLINGS = 20;

    private static final long NEVER = Long.MIN_VALUE;

    private final SplittableRandom random;
    private int consecutiveFailures;
    private double tokens = BURST;
    private long lastRefillUs = NEVER;
    private long delaysByBudget;

    /**
     * A backoff with a full token bucket.
     *
     * @param seed of the jitter; each proxy has its own (the configuration's seed), so that proxies differ
     */
    public ReconnectBackoff(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /**
     * The stream broke, or a connect failed; how long to wait before the next connect.
     *
     * @param nowUs the caller's clock, in µs; never earlier than at an earlier call
     * @return the delay, in µs: at least {@code INITIAL_DELAY_US / 2}, at most {@code MAX_DELAY_US}, or longer only
     *     while the token bucket is empty
     */
    public long nextDelayUs(long nowUs) {
        refill(nowUs);
        long stepUs = Math.min(MAX_DELAY_US, INITIAL_DELAY_US << Math.min(consecutiveFailures, MAX_DOUBLINGS));
        consecutiveFailures++;
        long delayUs = stepUs / 2 + random.nextLong(stepUs / 2 + 1);
        tokens -= 1;
        if (tokens < 0) {
            // The bucket is empty: the connect waits for its own token, and no longer.
            delaysByBudget++;
            delayUs = Math.max(delayUs, (long) Math.ceil(-tokens * TOKEN_INTERVAL_US));
        }
        return delayUs;
    }

    /**
     * A line was received on a stream.
     *
     * @param nowUs the caller's clock, in µs
     * @param connectedUs when that stream was connected, on the same clock
     */
    public void lineReceived(long nowUs, long connectedUs) {
        if (nowUs - connectedUs >= STABLE_AFTER_US) {
            consecutiveFailures = 0;
        }
    }

    /** Failures since a stream was last stable. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Connects that had to wait for a token, since the start. */
    public long delaysByBudget() {
        return delaysByBudget;
    }

    private void refill(long nowUs) {
        if (lastRefillUs != NEVER) {
            tokens = Math.min(BURST, tokens + (double) (nowUs - lastRefillUs) / TOKEN_INTERVAL_US);
        }
        lastRefillUs = nowUs;
    }
}
