package petrelplank.analysis;

import petrelplank.record.Event;
import petrelplank.record.ResponseKind;

/** Sums over requests. Priority weights are kept in integer millionths, so that no order of adding changes a sum. */
public final class RequestTotals {
    private static final double MICRO = 1e6;

    private long asked;
    private final long[] responsesByKind = new long[ResponseKind.values().length];
    private long inTime;
    private long askedMicro;
    private long earnedMicro;

    RequestTotals() {}

    private static long micro(double weight) {
        return Math.round(weight * MICRO);
    }

    void addRequest() {
        asked++;
    }

    void addResponse(Event.RequestCompleted event) {
        responsesByKind[event.kind().ordinal()]++;
        inTime += event.withinObjective() ? 1 : 0;
        earnedMicro += micro(event.earnedWeight());
    }

    /** Sets the priority weight of every request counted so far; the classes' weights are known only at the end. */
    void weighRequests(double weightPerRequest) {
        askedMicro = asked * micro(weightPerRequest);
    }

    void add(RequestTotals other) {
        asked += other.asked;
        for (int kind = 0; kind < responsesByKind.length; kind++) {
            responsesByKind[kind] += other.responsesByKind[kind];
        }
        inTime += other.inTime;
        askedMicro += other.askedMicro;
        earnedMicro += other.earnedMicro;
    }

    /**
     * Requests admitted.
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
        return responsesByKind[kind.ordinal()];
    }

    /**
     * Responses within the latency objective.
     *
     * @return the count
     */
    public long inTime() {
        return inTime;
    }

    /**
     * The priority weight of the requests.
     *
     * @return the sum
     */
    public double worthAsked() {
        return askedMicro / MICRO;
    }

    /**
     * The priority weight that the responses earned.
     *
     * @return the sum
     */
    public double worthEarned() {
        return earnedMicro / MICRO;
    }

    /** The priority weight of the requests, in millionths. */
    long askedMicro() {
        return askedMicro;
    }

    /** The priority weight not earned, in millionths. */
    long lostMicro() {
        return askedMicro - earnedMicro;
    }

    /**
     * The share of the priority weight that was earned.
     *
     * @return from 0 to 1; not a number where nothing was asked
     */
    public double earnedShare() {
        return askedMicro == 0 ? Double.NaN : (double) earnedMicro / askedMicro;
    }
}
