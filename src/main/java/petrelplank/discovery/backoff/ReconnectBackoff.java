package petrelplank.discovery.backoff;

import java.util.SplittableRandom;

/**
 * When a front calls the coordinator again after its stream broke: a backoff that doubles from {@link #FIRST_US} to
 * {@link #CAP_US} with jitter over the upper half of each step, and a budget of calls ({@link #BURST} at once, one
 * more each {@link #REFILL_US}). Fronts that lost the coordinator together, or were started together, so call it
 * spread over time instead of in step, and a stream that breaks as soon as it is made costs at most one call a second.
 *
 * <p>The cap comes from the protocol: whatever the coordinator tells counts as told 7 s later, and a dead stream is
 * seen after 2.5 s of silence, so a front back in touch within 2 s more still hears a drain or a purge in time. The
 * row of breaks ends once a stream has stood for {@link #STOOD_US} and spoken: one that speaks and breaks at once
 * keeps climbing.
 *
 * <p>Decisions and state only: no I/O, no thread, no clock; times are the caller's, in microseconds, and the random
 * numbers come from the seed that it gives. Not safe for use by several threads; the front's event thread owns it.
 */
public final class ReconnectBackoff {
    /** The first wait after a break, in µs; the jitter makes it 100 to 200 ms. */
    public static final long FIRST_US = 200_000;
    /** The longest wait, in µs. */
    public static final long CAP_US = 2_000_000;
    /** Calls that may go out at once. */
    public static final int BURST = 8;
    /** A further call is allowed each this many µs. */
    public static final long REFILL_US = 1_000_000;
    /** A stream that stood this long and spoke ends the row of breaks, in µs. */
    public static final long STOOD_US = CAP_US;

    private final SplittableRandom random;
    private int inRow;
    private double tokens = BURST;
    private long filledUs = Long.MIN_VALUE;
    private long held;

    /**
     * Calls with nothing spent.
     *
     * @param seed of the jitter; each front has its own (the configuration's seed), so that fronts differ
     */
    public ReconnectBackoff(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /**
     * The stream broke, or a call was not answered; how long to wait before the next call.
     *
     * @param nowUs the caller's clock, in µs; never earlier than at an earlier call
     * @return the wait, in µs: at least {@code FIRST_US / 2}, at most {@code CAP_US}, or longer only while the budget
     *     is spent
     */
    public long broken(long nowUs) {
        refill(nowUs);
        long step = Math.min(CAP_US, FIRST_US << Math.min(inRow, 20));
        inRow++;
        long waitUs = step / 2 + random.nextLong(step / 2 + 1);
        tokens -= 1;
        if (tokens < 0) {
            // The budget is spent: the call waits for its token, and no longer.
            held++;
            waitUs = Math.max(waitUs, (long) Math.ceil(-tokens * REFILL_US));
        }
        return waitUs;
    }

    /**
     * A line came on a stream.
     *
     * @param nowUs the caller's clock, in µs
     * @param madeUs when that stream was made, on the same clock
     */
    public void heard(long nowUs, long madeUs) {
        if (nowUs - madeUs >= STOOD_US) {
            inRow = 0;
        }
    }

    /** Breaks since a stream last stood, for the log. */
    public int inRow() {
        return inRow;
    }

    /** Calls that had to wait for the budget, since the start. */
    public long held() {
        return held;
    }

    private void refill(long nowUs) {
        if (filledUs != Long.MIN_VALUE) {
            tokens = Math.min(BURST, tokens + (double) (nowUs - filledUs) / REFILL_US);
        }
        filledUs = nowUs;
    }
}
