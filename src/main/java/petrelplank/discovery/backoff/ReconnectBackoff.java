package petrelplank.discovery.backoff;

import java.util.SplittableRandom;

/**
 * Computes delays before reconnecting to the discovery service: exponential backoff from {@link #INITIAL_DELAY_US} to
 * {@link #MAX_DELAY_US}, with jitter over the upper half of each delay, and a token bucket ({@link #MAX_TOKENS}
 * connection attempts at once, one more each {@link #TOKEN_INTERVAL_US}). Jitter spreads the reconnects of proxies that
 * lost the service or were started at the same time. The token bucket allows a stream that breaks as soon as it is open
 * at most one connection attempt a second.
 *
 * <p>The maximum delay follows from the protocol: an event counts as delivered 7 s after the service sent it, and a
 * dead stream is detected after 2.5 s without a line, so a proxy that reconnects within 2 s more still receives a drain
 * or a purge in time. The backoff is reset only when a line arrives on a stream that has been open for
 * {@link #STABLE_AFTER_US}: if a stream delivers a line and breaks at once, the delays keep growing.
 *
 * <p>No I/O, threads or clock: the caller passes the time in microseconds, and the seed of the random numbers. Not
 * thread-safe; confined to the proxy's event thread.
 */
public final class ReconnectBackoff {
    /** Upper bound of the first delay after a stream breaks, in µs; jitter makes it 100 to 200 ms. */
    public static final long INITIAL_DELAY_US = 200_000;
    /** Upper bound of the backoff, in µs; only a wait for a token may be longer. */
    public static final long MAX_DELAY_US = 2_000_000;
    /** Capacity of the token bucket: connection attempts that may be made without waiting for a token. */
    public static final int MAX_TOKENS = 8;
    /** Interval at which a token is added, in µs. */
    public static final long TOKEN_INTERVAL_US = 1_000_000;
    /** A line on a stream that has been open this long resets the backoff, in µs. */
    public static final long STABLE_AFTER_US = MAX_DELAY_US;

    /** Keeps the shift from overflowing; the maximum delay is reached long before. */
    private static final int MAX_DOUBLINGS = 20;

    private static final long NOT_REFILLED = Long.MIN_VALUE;

    private final SplittableRandom random;
    private int consecutiveFailures;
    private double tokens = MAX_TOKENS;
    private long lastRefillUs = NOT_REFILLED;
    private long delaysForTokens;

    /**
     * Creates a backoff with a full token bucket.
     *
     * @param seed seeds the jitter; each proxy has its own, from its configuration, so that proxies differ
     */
    public ReconnectBackoff(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /**
     * Records that the stream broke or a connection attempt failed, and computes the delay before the next attempt.
     *
     * @param nowUs the current time, in µs; must not decrease between calls
     * @return the delay, in µs: from {@code INITIAL_DELAY_US / 2} to {@code MAX_DELAY_US}; longer only while the token
     *     bucket is empty
     */
    public long nextDelayUs(long nowUs) {
        refill(nowUs);
        long backoffUs = Math.min(MAX_DELAY_US, INITIAL_DELAY_US << Math.min(consecutiveFailures, MAX_DOUBLINGS));
        consecutiveFailures++;
        long delayUs = backoffUs / 2 + random.nextLong(backoffUs / 2 + 1);
        tokens -= 1;
        if (tokens < 0) {
            // The bucket is empty: the attempt waits until its own token has been added, and no longer.
            delaysForTokens++;
            delayUs = Math.max(delayUs, (long) Math.ceil(-tokens * TOKEN_INTERVAL_US));
        }
        return delayUs;
    }

    /**
     * Records a line received; resets the backoff if its stream is stable.
     *
     * @param nowUs the current time, in µs
     * @param connectedAtUs when the stream was opened, on the same clock
     */
    public void onLineReceived(long nowUs, long connectedAtUs) {
        if (nowUs - connectedAtUs >= STABLE_AFTER_US) {
            consecutiveFailures = 0;
        }
    }

    /** Failures since the last reset by a stable stream. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Number of delays computed while the token bucket was empty. */
    public long delaysForTokens() {
        return delaysForTokens;
    }

    private void refill(long nowUs) {
        if (lastRefillUs != NOT_REFILLED) {
            tokens = Math.min(MAX_TOKENS, tokens + (double) (nowUs - lastRefillUs) / TOKEN_INTERVAL_US);
        }
        lastRefillUs = nowUs;
    }
}
