package petrelplank.analysis;

import java.util.LinkedHashMap;
import java.util.Map;
import petrelplank.record.ResponseKind;

/** Sums of requests. Worth is kept in whole millionths, so that no order of adding changes it. */
public final class RequestTotals {
    private static final double MICRO = 1e6;

    long asked;
    final long[] finals = new long[ResponseKind.values().length];
    long inTime;
    long askedMicro;
    long earnedMicro;

    static long micro(double worth) {
        return Math.round(worth * MICRO);
    }

    void add(RequestTotals other) {
        asked += other.asked;
        for (int i = 0; i < finals.length; i++) {
            finals[i] += other.finals[i];
        }
        inTime += other.inTime;
        askedMicro += other.askedMicro;
        earnedMicro += other.earnedMicro;
    }

    /**
     * Requests taken.
     *
     * @return the count
     */
    public long asked() {
        return asked;
    }

    /**
     * Requests answered in one way.
     *
     * @param kind how
     * @return the count
     */
    public long count(ResponseKind kind) {
        return finals[kind.ordinal()];
    }

    /**
     * Answers within the aim.
     *
     * @return the count
     */
    public long inTime() {
        return inTime;
    }

    /**
     * What the requests were worth.
     *
     * @return worth
     */
    public double worthAsked() {
        return askedMicro / MICRO;
    }

    /**
     * What the answers earned.
     *
     * @return worth
     */
    public double worthEarned() {
        return earnedMicro / MICRO;
    }

    /**
     * The part of the worth that was earned.
     *
     * @return from 0 to 1; not a number where nothing was asked
     */
    public double service() {
        return askedMicro == 0 ? Double.NaN : (double) earnedMicro / askedMicro;
    }

    Map<String, Object> tree() {
        Map<String, Object> t = new LinkedHashMap<>();
        t.put("asked", asked);
        t.put("served", count(ResponseKind.SERVED));
        t.put("still", count(ResponseKind.NOT_MODIFIED));
        t.put("refused", count(ResponseKind.REJECTED));
        t.put("failed", count(ResponseKind.FAILED));
        t.put("inTime", inTime);
        t.put("worthAsked", worthAsked());
        t.put("worthEarned", worthEarned());
        return t;
    }
}
