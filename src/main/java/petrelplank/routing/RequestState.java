package petrelplank.routing;

import java.util.ArrayList;
import java.util.List;

/** A request that is not over, or has attempts out: what the decision module notes of it, no decisions. */
final class RequestState {
    /** One attempt that is out. */
    static final class AttemptState {
        final Endpoint node;
        final Endpoint source;
        final long sentUs;
        final double workUs;
        final boolean trial;
        final boolean fill;

        AttemptState(Endpoint node, Endpoint source, long sentUs, double workUs, boolean trial, boolean fill) {
            this.node = node;
            this.source = source;
            this.sentUs = sentUs;
            this.workUs = workUs;
            this.trial = trial;
            this.fill = fill;
        }
    }

    final RoutingRequest request;
    final ServiceClass serviceClass;
    final int classIndex;
    /** The object's part, hashed. */
    final long key;
    /** Sending time at a client's pace: told, or the class's mean until an answer tells it. */
    double transferUs;
    /** Drawn once, evenly from 0 to 1: what is shed or spared by share goes by it. */
    final double draw;
    /** Part of the limits that it may use. */
    double share = 1;
    /** By attempt number; null once an attempt has ended. */
    final List<AttemptState> tries = new ArrayList<>(2);
    /** Servers that it shall pass by. */
    final List<Endpoint> failed = new ArrayList<>(2);
    /** Servers that answered with an error and no note. */
    final List<Endpoint> errors = new ArrayList<>(0);

    int out;
    boolean over;
    boolean staleAllowed;
    /** It has had its look without a fill. */
    boolean looked;
    /** A cache was passed by since it is at its limit. */
    boolean crowded;
    /** The attempt whose silence was not explained; it holds no place under the limits. */
    AttemptState lost;
    /** A second attempt was made after a silence. */
    boolean silent;
    /** Its attempt's lateness was held against the origin already. */
    boolean overdue;
    /** It takes only what a parent holds. */
    boolean onlyIfCached;
    /** It is among those that may call the origin while others are spared. */
    boolean asking;

    boolean mayHaveRun;
    long firstRunUs;

    RequestState(RoutingRequest request, ServiceClass serviceClass, int classIndex, double transferUs, double draw) {
        this.request = request;
        this.serviceClass = serviceClass;
        this.classIndex = classIndex;
        this.key = Hash.mix(request.object() ^ Hash.mix(request.part()));
        this.transferUs = transferUs;
        this.draw = draw;
    }
}
