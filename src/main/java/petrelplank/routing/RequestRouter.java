package petrelplank.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import petrelplank.routing.Endpoint.Role;
import petrelplank.routing.RequestState.AttemptState;

/**
 * The decision module; its interface is Router.java. {@link #request} and {@link #outcome} both end in {@link
 * #attempt}, which sends one order or gives the final answer. Live.java and Node.java hold its state.
 */
public final class RequestRouter implements Router {
    private static final double ALPHA = 0.1; // learning rate of Q (design page, from the paper)
    private static final double SERVED = 1000; // payoff of a served fill before load; of none, minus it
    private static final double LOAD_CAP = 100; // most that load takes off it (design page)
    private static final int GROUPS = 16; // object groups, a Q row each: few, so that a row hears in seconds
    private static final double EXPLORE = 0.02; // share of fills that try any ready parent anew
    private static final double TIE = LOAD_CAP / 5; // Q values this close tie: the noise of a few fills
    private static final double HOT = 0.15; // an object takes a cache more whenever share x caches passes it
    private static final int FAILURES = 3; // in a row eject a server; one failed connect if not heard lately
    private static final int ERRORS = 3; // from so many servers: the request's own, they are pardoned
    private static final double FIRST_PAUSE = 2; // of an ejected server, in connect time-outs
    private static final double PAUSE_CAP = 16; // to which it doubles with each failed trial
    private static final double COLD_MARGIN = 0.45; // of the cold rule, as burst and as rate: under a half
    private static final double LIMIT_START = 32; // out at once, over the gateways of a location
    private static final double LIMIT_LEAST = 4;
    private static final double LIMIT_SHRINK = 0.9; // steps that keep 1 in 20 or so late
    private static final double LIMIT_GROW = 0.05;
    private static final double SLOW = 2; // fill time over sending time: too slow above this
    private static final double PACE_US = 200_000; // samples of it count in full from this size
    private static final double PACE_SMOOTH = 0.2;
    private static final double LEAST_SHARE = 0.5; // of the limits: for large ones, or over an allowance
    private static final double PATIENCE = 6; // mean deviations beyond size and mean delay: silence
    private static final double SHORT = 1.5; // calls of the origin over those served well: short above this
    private static final double SHARE_CUT = 0.5; // what a cut leaves of its share
    private static final double SHARE_LEAST = 0.02;
    private static final double QUEUED = 0.5; // part of the aim: calls that wait longer tell of a queue
    private static final double LINK_ROOM = 0.5; // link in use below which late fills are not the link's
    /** Requests in hand per unit of weight, and link use, above which a late answer is taken for overload. */
    static final double BUSY = 1.5;

    private static final double USED = 0.9; // the same for the share used, which hides what waits
    private static final double SMOOTH = 0.05; // weight of a new sample in running means

    /** How much may be out at once: grows with each answer in time while used, shrinks with each late one. */
    static final class Limit {
        final double sharers;
        double most;
        /** It shrinks no further. */
        double least;

        int out;

        Limit(double sharers) {
            this.sharers = sharers;
            this.most = LIMIT_START / sharers;
            this.least = LIMIT_LEAST / sharers;
        }

        /** The draw rounds what is no whole number; a deviation more where many share, lest chance sheds. */
        boolean free(RequestState r) {
            double others = 1 - 1 / sharers;
            return out + r.draw < most * r.share + others * others * Math.sqrt(most * r.share);
        }

        void end(boolean good) {
            if (!good) {
                most = Math.max(least, most * Math.pow(LIMIT_SHRINK, Math.sqrt(sharers)));
            } else if (out >= Math.floor(most / 2)) {
                most += LIMIT_GROW / Math.sqrt(sharers);
            }
        }
    }

    private final RouterSettings settings;
    private final PlatformRules rules;
    private final boolean notesTold;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<String, Integer> classIndex = new HashMap<>();
    private final TransferTimeEstimator transferTimes;
    private final Map<String, Endpoint> nodes = new LinkedHashMap<>();
    private final List<Endpoint> edges = new ArrayList<>();
    private final List<Endpoint> parents = new ArrayList<>();
    private Endpoint origin;
    private final Map<String, RequestState> live = new HashMap<>();
    private final ObjectPopularity popularity;
    private final CopyLocations copies = new CopyLocations();
    private final PurgeLog purges;
    private final Map<Long, RequestState> waiting = new HashMap<>();
    private long timers;
    /** Places in a load report: requests in hand, else the share used, and the link's use; -1: not told. */
    private final int inHandAt;

    private final int usedAt;
    private final int linkUseAt;
    /** The location's link, transfers over those that fit at full pace, as last reported; -1 before. */
    private double linkUse = -1;

    private double delay = 0.25;
    private double delayDeviation = 0.25;
    private final double windowUs;
    private final DecayingRate filled = new DecayingRate();
    private final double sharers;
    private final double link;
    private final Limit fills;
    private final DecayingRate asked = new DecayingRate();
    private final DecayingRate served = new DecayingRate();
    private double share = 1;
    private long shareAtUs;
    private double edgeRate;
    private double parentRate;
    private final RetryBudget retryBudget = new RetryBudget();
    private final TenantQuotas quotas;
    private final RateLimitedLog log;
    private long beganUs = Long.MAX_VALUE;
    private double quickestUs = Double.MAX_VALUE;

    /** A router for one gateway; what is missing is named. */
    public RequestRouter(RouterSettings settings, long seed, Actions actions) {
        this.settings = Objects.requireNonNull(settings, "settings: missing");
        this.actions = Objects.requireNonNull(actions, "actions: missing");
        this.rules = settings.rules();
        this.notesTold = settings.cacheStatusDetail() == CacheStatusDetail.ALL;
        this.random = new SplittableRandom(seed);
        this.transferTimes = new TransferTimeEstimator(settings.classes(), settings.flowKbPerSecond());
        int at = settings.zones().indexOf(settings.zone());
        this.sharers = settings.zoneGatewayCount();
        this.fills = new Limit(sharers);
        boolean weighed =
                settings.weightMeaning() == WeightMeaning.NOMINAL || settings.weightMeaning() == WeightMeaning.ROUGH;
        this.inHandAt = weighed ? settings.reportFields().indexOf("concurrent") : -1;
        this.usedAt = weighed && inHandAt < 0 ? settings.reportFields().indexOf("load_share") : -1;
        this.linkUseAt = settings.reportFields().indexOf("x1");
        this.link = at < settings.zoneLinkKbPerSecond().size() && settings.flowKbPerSecond() > 0
                ? settings.zoneLinkKbPerSecond().get(at) / settings.flowKbPerSecond()
                : 0;
        long longest = 0;
        for (int i = 0; i < settings.classes().size(); i++) {
            ServiceClass serviceClass = settings.classes().get(i);
            classIndex.put(serviceClass.name(), i);
            longest = Math.max(longest, serviceClass.deadlineUs());
        }
        this.windowUs = longest;
        this.popularity = new ObjectPopularity(2 * windowUs);
        this.purges = new PurgeLog(rules.purgeDoneUs());
        this.quotas = new TenantQuotas(settings, windowUs);
        this.log = new RateLimitedLog(actions, windowUs / 10);
        if (settings.watchEndpoints()) {
            actions.watchEndpoints();
        }
    }

    @Override
    public void endpointsChanged(long now, boolean complete, List<EndpointInfo> members) {
        beganUs = Math.min(beganUs, now);
        if (complete) {
            nodes.values().forEach(n -> n.state = EndpointState.REMOVED);
        }
        for (EndpointInfo m : members) {
            Endpoint n = nodes.computeIfAbsent(m.id(), id -> new Endpoint(id, new Limit(sharers), GROUPS));
            if (m.startedUs() != n.startedUs) {
                n.startedUs = m.startedUs();
                copies.forgetCache(n);
                n.tokensAtUs = 0;
                n.failures = 0;
                n.ejected = false;
                n.stretch = 1;
            }
            n.state = m.state();
            n.weight = settings.weightMeaning() != WeightMeaning.NONE && m.weight() > 0 ? m.weight() : 1;
            // Guards against a jam's end that the limit sleeps through: what fits is known, and told.
            n.limit.least = Math.max(LIMIT_LEAST, inHandAt >= 0 ? BUSY * n.weight : 0) / sharers;
            n.hubDistance = hubDistance(m.zone());
            n.role = role(m);
        }
        nodes.values().removeIf(n -> n.state == EndpointState.REMOVED);
        copies.forgetRemovedCaches();
        edges.clear();
        parents.clear();
        origin = null;
        for (Endpoint n : nodes.values()) {
            switch (n.role) {
                case EDGE -> edges.add(n);
                case PARENT -> parents.add(n);
                case ORIGIN -> origin = n;
                default -> {}
            }
        }
    }

    private Role role(EndpointInfo m) {
        boolean parent = m.kind().equals(settings.parentKind());
        Role inZone = m.zone().equals(settings.zone()) ? Role.EDGE : Role.OTHER;
        return m.kind().equals(settings.originKind()) ? Role.ORIGIN : parent ? Role.PARENT : inZone;
    }

    @Override
    public void discoveryFailed(long now) {
        if (settings.watchEndpoints()) {
            actions.setTimer(0, now + Math.max(1, rules.pollIntervalUs() / 4));
        }
    }

    @Override
    public void timerFired(long now, long token) {
        RequestState r = waiting.remove(token);
        if (r != null) {
            silence(r, now);
        } else if (token == 0 && settings.watchEndpoints()) {
            actions.watchEndpoints();
        }
    }

    /** Steps along the ring of hubs from this gateway's hub; 0 where hubs are not told. */
    private int hubDistance(String zone) {
        int own = settings.zones().indexOf(settings.zone());
        int at = settings.zones().indexOf(zone);
        List<Integer> hubs = settings.zoneHub();
        int ring = hubs.isEmpty() ? 1 : 1 + Collections.max(hubs);
        if (own >= hubs.size() || at < 0 || at >= hubs.size()) {
            return 0;
        }
        int steps = Math.floorMod(hubs.get(own) - hubs.get(at), ring);
        return Math.min(steps, Math.floorMod(-steps, ring));
    }

    /** Up and not ejected; an ejected server whose pause is over is ready for one trial at a time. */
    private boolean ready(Endpoint n, long now) {
        return n.state == EndpointState.UP && (!n.ejected || (now >= n.trialAtUs && !n.trialOut));
    }

    /** Outlier ejection: one failed connect, or several other failures in a row, until a trial succeeds. */
    private void failed(Endpoint n, long now, boolean sure, boolean trial) {
        n.failures++;
        n.unreached = false;
        if (n.ejected ? trial : sure || n.failures >= FAILURES) {
            double first = FIRST_PAUSE * Math.max(1, settings.connectTimeoutUs());
            n.pauseUs = (long) (n.ejected ? Math.min(2 * n.pauseUs, PAUSE_CAP * first / FIRST_PAUSE) : first);
            n.trialAtUs = now + n.pauseUs;
            actions.ejected(n.id, n.ejected, n.pauseUs);
            log.log(now, (n.ejected ? "trial failed: " : "ejected: ") + n.id + ", ms " + n.pauseUs / 1000);
            n.ejected = true;
        }
    }

    private void takeBackFailure(Endpoint n, long now) {
        n.failures = Math.max(0, n.failures - 1);
        if (n.ejected && n.failures < FAILURES) {
            worked(n, now);
        }
    }

    private void worked(Endpoint n, long now) {
        n.failures = 0;
        if (n.ejected) {
            n.ejected = false;
            actions.recovered(n.id);
            log.log(now, "returned: " + n.id);
        }
    }

    /**
     * The servers that may be offered: the ready ones. Where fewer than half of those that are up are ready,
     * they share the fault, and all that are up are offered; not so parents where notes tell the origin's
     * failures from theirs, nor caches that were not reached, where requests may pass them by.
     */
    private List<Endpoint> usable(List<Endpoint> list, RequestState r, long now) {
        List<Endpoint> up = new ArrayList<>(list);
        boolean direct = list == edges && settings.permissions().directToParents();
        up.removeIf(n -> n.state != EndpointState.UP || r.failed.contains(n));
        up.removeIf(n -> direct && n.unreached && !ready(n, now));
        List<Endpoint> ready = new ArrayList<>(up);
        ready.removeIf(n -> !ready(n, now));
        boolean told = list == parents && notesTold;
        return !told && ready.size() * 2 < up.size() ? up : ready;
    }

    /**
     * Objects (each part by itself) are hashed over the ready caches; a hot one is widened to two or three,
     * of which the least loaded takes it. The share of one just started rises in a line; one with no cold
     * budget left passes to the next, a crowded one to those with room.
     */
    private Endpoint edge(RequestState r, long now) {
        List<Endpoint> usable = usable(edges, r, now);
        for (Endpoint n : usable) {
            n.score = n.weight * ramp(n, now) / Math.log(Hash.unit(Hash.mix(r.key ^ n.hash)));
        }
        usable.sort(Comparator.comparingDouble(n -> n.score));
        r.crowded = false;
        int width = Math.min(3, 1 + (int) (popularity.share(r.key) * usable.size() / HOT));
        Endpoint best = null;
        for (int i = 0; i < usable.size() && (i < width || best == null); i++) {
            Endpoint node = usable.get(i);
            if (i >= width && r.crowded && (node.inHand < 0 || node.inHand > node.weight)) {
                continue;
            }
            if (!affords(node, transferTimes.classMeanUs(r.classIndex), now)) {
                continue;
            }
            boolean free = node.limit.free(r) || hasRoom(node);
            r.crowded |= !free;
            double load = node.outWorkUs / node.weight;
            if (free && (best == null || load < best.outWorkUs / best.weight)) {
                best = node;
            }
        }
        return best;
    }

    /** Whether the last report, and what was sent since, show room: limits lag, and gateways come and go. */
    private boolean hasRoom(Endpoint n) {
        return n.inHand >= 0 && n.inHand + Math.max(0, n.limit.out - n.outAtReport) < n.weight;
    }

    /** Whether one more fill fits: under the limit, or the location's link was last reported to have room. */
    private boolean mayFill(RequestState r) {
        return fills.free(r) || linkUse >= 0 && linkUse < 1;
    }

    /**
     * The ready parent with the group's highest Q, or any, at a small exploring share; the origin only where
     * none is ready or all are below zero. Ties go to the nearest hub, then by rendezvous hash.
     */
    private Endpoint source(RequestState r, long now) {
        int group = (int) Long.remainderUnsigned(Hash.mix(r.request.object()), GROUPS);
        List<Endpoint> usable = usable(parents, r, now);
        usable.removeIf(n -> Hash.unit(Hash.mix(r.request.object() + n.hash)) > ramp(n, now));
        usable.removeIf(n -> !affords(n, r.transferUs, now));
        boolean free = origin != null && !r.onlyIfCached && ready(origin, now) && !r.failed.contains(origin);
        double mean = meanQ(usable, group);
        double top = usable.stream().mapToDouble(n -> q(n, group, mean)).max().orElse(-SERVED);
        if (usable.isEmpty() || top < 0 && free) {
            return free ? origin : null;
        }
        if (random.nextDouble() < EXPLORE) {
            return usable.get(random.nextInt(usable.size()));
        }
        return usable.stream()
                .filter(n -> q(n, group, mean) >= top - TIE)
                .min(Comparator.<Endpoint>comparingInt(n -> n.hubDistance)
                        .thenComparing(n -> Hash.mix(n.hash + group), Comparator.reverseOrder()))
                .get();
    }

    private static double q(Endpoint n, int group, double untold) {
        return n.heard[group] ? n.q[group] : untold;
    }

    private static double meanQ(List<Endpoint> nodes, int group) {
        return nodes.stream()
                .filter(n -> n.heard[group])
                .mapToDouble(n -> n.q[group])
                .average()
                .orElse(SERVED);
    }

    /** Q moves by a tenth towards the payoff; parents pass nothing back, so there is no value to come. */
    private void learn(Endpoint n, RequestState r, double payoff) {
        if (n.role != Role.PARENT) {
            return;
        }
        int group = (int) Long.remainderUnsigned(Hash.mix(r.request.object()), GROUPS);
        n.q[group] = q(n, group, meanQ(parents, group));
        n.q[group] += ALPHA * (payoff - n.q[group]);
        n.heard[group] = true;
    }

    /** Learns from an attempt that named a source; size is not load, so sending time comes off. */
    private void learnFrom(RequestState r, AttemptState t, AttemptOutcome o, long now) {
        if (t.source == t.node && t.node.role == Role.EDGE) {
            return;
        }
        if (o.status() == AttemptStatus.OK) {
            if (o.cacheStatus() == CacheStatus.FILLED
                    || o.cacheStatus() == CacheStatus.FILLED_FROM_ORIGIN
                    || settings.cacheStatusDetail() == CacheStatusDetail.NONE && o.cacheStatus() == CacheStatus.NONE) {
                double wait = o.sourceWaitUs() > 0 ? o.sourceWaitUs() : Math.max(0, o.latencyUs() - r.transferUs);
                t.source.heardUs = now;
                learn(t.source, r, SERVED - LOAD_CAP * Math.min(1, wait / r.serviceClass.latencyObjectiveUs()));
                if (t.source.role != Role.PARENT) {
                    return;
                }
                filled.add(now, r.transferUs, windowUs);
                if (r.request.sizeKb() + o.sizeKb() <= 0
                        || o.cacheStatus() == CacheStatus.FILLED_FROM_ORIGIN
                        || !slow(t.source, stretch(r, o), r.transferUs)) {
                    worked(t.source, now);
                } else if (!t.source.ejected || t.trial) {
                    failed(t.source, now, true, t.trial);
                }
            }
        } else if (sourceToBlame(o)) {
            learn(t.source, r, -SERVED);
            boolean told = r.silent && t == r.lost;
            if (o.cacheStatus() != CacheStatus.ORIGIN_FAILED && t.source.role == Role.PARENT && !told) {
                boolean unreached =
                        o.status() == AttemptStatus.REJECTED && o.cacheStatus() == CacheStatus.SOURCE_UNREACHABLE;
                failed(t.source, now, unreached, t.trial);
            }
        }
    }

    /**
     * Whether a parent sends slowly, which first-byte time hides: its fills take, for their size, longer than
     * late ones may and twice as long as the best ready peer's; if all are slow the fault is another's. Not
     * asked where sizes are not told, nor of fills by way of the origin, whose link may be the slow one.
     */
    private boolean slow(Endpoint n, double stretch, double workUs) {
        n.stretch += PACE_SMOOTH * Math.min(1, workUs / PACE_US) * (stretch - n.stretch);
        double best = parents.stream()
                .filter(p -> p != n && p.state == EndpointState.UP && !p.ejected)
                .mapToDouble(p -> p.stretch)
                .min()
                .orElse(Double.MAX_VALUE);
        return n.stretch > SLOW && n.stretch > 2 * best;
    }

    /** How much longer than at a client's pace the bytes took to come. */
    private static double stretch(RequestState r, AttemptOutcome o) {
        return (o.latencyUs() - o.sourceWaitUs()) / r.transferUs;
    }

    /** Whether the source failed; without notes, what came back too fast to have asked it is the cache's. */
    private boolean sourceToBlame(AttemptOutcome o) {
        return switch (o.cacheStatus()) {
            case SOURCE_REJECTED, SOURCE_UNREACHABLE, ORIGIN_FAILED -> true;
            case FILL_LIMIT_REACHED, SOURCE_MISS -> false;
            default ->
                o.status() == AttemptStatus.TIMEOUT
                        || (o.status() == AttemptStatus.REJECTED && !notesTold && o.latencyUs() > 4 * quickestUs);
        };
    }

    /** Whether the origin may have turned a call away, by way of a source or not. */
    private boolean refusal(AttemptOutcome o) {
        boolean untold = !notesTold && (o.status() == AttemptStatus.REJECTED || o.status() == AttemptStatus.ERROR);
        return o.status() != AttemptStatus.TIMEOUT && (sourceToBlame(o) || untold);
    }

    /** Part of its capacity that a server can be trusted with: the stated least, rising in a line to all. */
    private double ramp(Endpoint n, long now) {
        boolean parent = n.role == Role.PARENT;
        long slowStartUs = parent ? rules.parentSlowStartUs() : rules.slowStartUs();
        double from = parent ? rules.parentSlowStartFrom() : rules.slowStartFrom();
        if (n.role == Role.ORIGIN || n.startedUs == 0 || now - n.startedUs >= slowStartUs) {
            return 1;
        }
        return from + (1 - from) * Math.max(0, now - n.startedUs) / slowStartUs;
    }

    /**
     * Slow start: a token bucket in sending time, sized so that all gateways together stay under the stated
     * multiple of the server's least capacity. All that is sent to it or names it counts. Without weights,
     * capacity is what warm servers bear from us. Gateways that restart together must not bring a burst each.
     */
    private boolean affords(Endpoint n, double workUs, long now) {
        double limit = coldLimit(n, now);
        if (limit == Double.MAX_VALUE) {
            return true;
        }
        double size = limit * rules.overloadUs();
        double first = n.startedUs < beganUs ? 0 : size;
        n.tokensUs = n.tokensAtUs == 0 ? first : Math.min(size, n.tokensUs + limit * (now - n.tokensAtUs));
        n.tokensAtUs = now;
        return n.tokensUs >= workUs;
    }

    private void charge(Endpoint n, double workUs, long now) {
        if (!affords(n, Double.MAX_VALUE, now)) {
            n.tokensUs -= workUs;
        }
    }

    private double coldLimit(Endpoint n, long now) {
        double ramp = ramp(n, now);
        boolean parent = n.role == Role.PARENT;
        double multiple = parent ? rules.parentOverloadMultiple() : rules.overloadMultiple();
        if (ramp >= 1 || multiple <= 0 || rules.overloadUs() <= 0) {
            return Double.MAX_VALUE;
        }
        double part = settings.weightMeaning() != WeightMeaning.NONE
                ? n.weight / (parent ? settings.gateways() : sharers)
                : Math.max(parent ? parentRate : edgeRate, 1.0 / settings.gateways());
        return COLD_MARGIN * multiple * ramp * part;
    }

    /** Learns what warm servers bear from us, for sites that tell no weights. */
    private void measure(long now) {
        edgeRate = edges.stream()
                .filter(n -> ramp(n, now) >= 1)
                .mapToDouble(n -> n.sent.read(now, windowUs))
                .average()
                .orElse(edgeRate);
        if (!parents.isEmpty()) {
            parentRate = Math.max(parentRate, filled.read(now, windowUs) / parents.size());
        }
    }

    @Override
    public void objectPurged(long now, long object, long ageUs) {
        purges.recordObject(object, now - ageUs);
    }

    @Override
    public void groupPurged(long now, int group, long ageUs) {
        purges.recordGroup(group, now - ageUs);
    }

    @Override
    public void requestReceived(long now, RoutingRequest request) {
        Integer index = classIndex.get(request.serviceClass());
        if (index == null) {
            actions.reject(request.id(), 0);
            return;
        }
        double transferUs = transferTimes.recordRequest(index, request.sizeKb());
        RequestState r =
                new RequestState(request, settings.classes().get(index), index, transferUs, random.nextDouble());
        r.share = Math.max(LEAST_SHARE, Math.min(1, transferTimes.classMeanUs(index) / transferUs));
        if (quotas.recordAndCheckOverQuota(request.tenant(), now)) {
            r.share *= Math.max(LEAST_SHARE, settings.overQuotaWeightFactor());
        }
        live.put(request.id(), r);
        popularity.recordRequest(now, r.key);
        measure(now);
        retryBudget.earn();
        attempt(r, now);
    }

    @Override
    public void attemptEnded(long now, AttemptOutcome o) {
        RequestState r = live.get(o.request());
        boolean known = r != null && o.attempt() >= 0 && o.attempt() < r.tries.size();
        AttemptState t = known ? end(r, o.attempt()) : null;
        if (t == null) {
            if (known && o.completed()) {
                clientDisconnected(now, o.request());
            }
            return;
        }
        r.over |= o.completed();
        report(t.node, o.load());
        transferTimes.recordOutcome(r, t.node, o);
        adapt(r, t, o, now);
        if (o.status() != AttemptStatus.NOT_SENT && o.status() != AttemptStatus.CANCELLED) {
            learnFrom(r, t, o, now);
            judge(r, t, o, now);
        }
        if (!o.status().neverExecuted() && o.status() != AttemptStatus.OK && !r.mayHaveRun) {
            r.mayHaveRun = true;
            r.firstRunUs = t.sentUs;
        }
        if (r.over) {
            cancelAll(r);
        } else if (r.out == 0) {
            double cost = o.status() == AttemptStatus.MISS || o.status() == AttemptStatus.CONNECT_FAILED ? 0 : 1;
            if (retryBudget.canAfford(cost) && o.status() != AttemptStatus.NOT_SENT && r.errors.size() < ERRORS) {
                retryBudget.spend(cost);
                r.staleAllowed = true;
                attempt(r, now);
            } else {
                giveUp(r, TerminationReason.RETRY_BUDGET_EXHAUSTED);
            }
        }
        forget(r);
    }

    /** Takes an attempt off the books; null when that was done before. */
    private AttemptState end(RequestState r, int attempt) {
        AttemptState t = r.tries.set(attempt, null);
        if (t != null) {
            r.out--;
            t.node.outWorkUs = Math.max(0, t.node.outWorkUs - t.workUs);
            if (t != r.lost) {
                t.node.limit.out--;
                fills.out -= t.fill ? 1 : 0;
            }
            t.node.trialOut &= !t.trial;
            t.source.trialOut &= !t.trial;
        }
        return t;
    }

    private void cancelAll(RequestState r) {
        for (int i = 0;
                i < r.tries.size() && r.out > 0 && settings.permissions().cancel();
                i++) {
            if (end(r, i) != null) {
                actions.cancel(r.request.id(), i);
            }
        }
    }

    /** How long silence has a usual cause; longer for what would come late anyway, or was silent before. */
    private double patienceUs(RequestState r) {
        double more = PATIENCE * Math.max(SMOOTH, delayDeviation) * aim(r);
        double first = r.transferUs + delay * aim(r) + more;
        return r.tries.size() < 2 && first + r.transferUs <= aim(r) ? first : first + more;
    }

    /**
     * Hedged requests: after a silence that size and usual delay don't explain, a second copy goes out where
     * allowed, else the first is cancelled. The cache is passed by unless it answered others since, then the
     * source. Under the retry budget; in a jam the usual delay rises, and hedging stops by itself.
     */
    private void silence(RequestState r, long now) {
        AttemptState t = r.tries.get(r.tries.size() - 1);
        if (r.over || r.out != 1 || t == null || t == r.lost) {
            return;
        }
        if (!r.overdue && mayCall(r, t) && now > t.sentUs + aim(r)) {
            r.overdue = true;
            called(now, false);
        }
        if (now < t.sentUs + patienceUs(r)) {
            listen(r, t, now);
            return;
        }
        r.lost = t;
        t.node.limit.out--;
        fills.out -= t.fill ? 1 : 0;
        if (retryBudget.canAfford(1) && again(r) && r.request.deadlineUs() - now > r.transferUs) {
            retryBudget.spend(1);
            r.silent = true;
            if (t.node.heardUs < t.sentUs) {
                failed(t.node, now, false, t.trial);
                r.failed.add(t.node);
            } else if (t.fill && t.source.heardUs < t.sentUs) {
                learn(t.source, r, -SERVED);
                failed(t.source, now, false, t.trial);
                r.failed.add(t.source);
            }
            attempt(r, now);
        }
    }

    private boolean again(RequestState r) {
        return (settings.permissions().hedging() || settings.permissions().cancel())
                && r.serviceClass.idempotency() == Idempotency.IDEMPOTENT
                && r.tries.size() < settings.permissions().maxAttempts();
    }

    private void listen(RequestState r, AttemptState t, long now) {
        // Guards against a due time past all numbers, which wraps into the past and fires on and on.
        double aim = now > t.sentUs + aim(r) ? r.request.deadlineUs() : aim(r);
        long due = t.sentUs + (long) Math.min(aim, again(r) ? patienceUs(r) : aim) + 1;
        if (due < r.request.deadlineUs()) {
            waiting.put(++timers, r);
            actions.setTimer(timers, due);
        }
    }

    /**
     * Adaptive concurrency: once answers come late, less is let out at once, to the cache where it was a
     * copy, into the location where it was a fill. Silence is not load, nor is what is late while reports
     * show room.
     */
    private void adapt(RequestState r, AttemptState t, AttemptOutcome o, long now) {
        boolean ok = o.status() == AttemptStatus.OK;
        if (ok && t.node.role == Role.EDGE) {
            double part = (o.latencyUs() - t.workUs) / aim(r);
            delayDeviation += SMOOTH * (Math.abs(part - delay) - delayDeviation);
            delay += SMOOTH * (part - delay);
        }
        boolean late = o.status() == AttemptStatus.TIMEOUT && o.latencyUs() < patienceUs(r);
        boolean found = o.cacheStatus() == CacheStatus.HIT || o.cacheStatus() == CacheStatus.STALE;
        boolean good = ok && o.latencyUs() <= aim(r);
        // Guards the origin's link: a first byte comes soon, then little, or nothing while others answer.
        boolean crawls = o.cacheStatus() == CacheStatus.FILLED_FROM_ORIGIN
                ? stretch(r, o) > SLOW * Math.max(t.source.stretch, linkUse)
                : t.fill
                        && o.status() == AttemptStatus.TIMEOUT
                        && !late
                        && Math.min(t.node.heardUs, t.source.heardUs) > t.sentUs;
        boolean called = mayCall(r, t) && !found && (ok || late || refusal(o))
                || o.cacheStatus() == CacheStatus.FILLED_FROM_ORIGIN
                || o.cacheStatus() == CacheStatus.ORIGIN_FAILED
                || crawls;
        boolean behind = called && !good && (r.serviceClass.write() || !ok && !late || crawls || linkHasRoom(o, now));
        if (r.onlyIfCached && o.status() == AttemptStatus.MISS && t.source.role == Role.PARENT && r.failed.isEmpty()) {
            r.asking = r.draw < originShare(now);
        }
        if (called && !r.overdue && (r.asking || r.serviceClass.write() || originShare(now) >= 1)) {
            double first = o.sourceWaitUs() > 0 ? o.sourceWaitUs() : o.latencyUs() - r.transferUs;
            called(now, ok && !behind && first <= QUEUED * aim(r));
        }
        r.overdue = false;
        if (behind || !ok && !late && (o.status() != AttemptStatus.REJECTED || sourceToBlame(o))) {
            return;
        }
        boolean filled = o.cacheStatus() == CacheStatus.FILLED
                || o.cacheStatus() == CacheStatus.FILLED_FROM_ORIGIN
                || o.cacheStatus() == CacheStatus.COALESCED;
        boolean link = (filled || t.fill && !found && o.status() != AttemptStatus.REJECTED)
                && (linkUse >= 0 || t.node.inHand <= BUSY * t.node.weight);
        double use = link ? linkUse : t.node.inHand / t.node.weight;
        if (good || use < 0 || use > BUSY) {
            (link ? fills : t.node.limit).end(good);
        }
    }

    private void report(Endpoint n, double[] load) {
        if (load == null || n.role != Role.EDGE) {
            return;
        }
        double inHand = inHandAt >= 0 && inHandAt < load.length ? load[inHandAt] : -1;
        if (usedAt >= 0 && usedAt < load.length) {
            inHand = (load[usedAt] > USED ? 2 * BUSY : load[usedAt]) * n.weight;
        }
        if (inHand != n.inHand) {
            n.inHand = inHand;
            n.outAtReport = n.limit.out;
        }
        linkUse = linkUseAt >= 0 && linkUseAt < load.length ? load[linkUseAt] : -1;
    }

    /** Whether an attempt calls the origin as far as one knows; where notes tell, fills wait for the note. */
    private boolean mayCall(RequestState r, AttemptState t) {
        return r.serviceClass.write() || t.fill && (t.source == origin || !notesTold);
    }

    /** Whether a late fill was late behind its source: told, or the link is known to have room. */
    private boolean linkHasRoom(AttemptOutcome o, long now) {
        return notesTold
                ? 2 * o.sourceWaitUs() > o.latencyUs()
                : filled.read(now, windowUs) * sharers < LINK_ROOM * link;
    }

    private static double aim(RequestState r) {
        return Math.min(
                r.serviceClass.deadlineUs(),
                r.serviceClass.latencyObjectiveUs() + r.serviceClass.objectiveSizeFactor() * r.transferUs);
    }

    /** What an outcome says of the server that was asked, and whom this request shall pass by. */
    private void judge(RequestState r, AttemptState t, AttemptOutcome o, long now) {
        boolean source = t.source != t.node && sourceToBlame(o) && (o.status() != AttemptStatus.TIMEOUT || t.fill);
        switch (o.status()) {
            case OK -> {
                worked(t.node, now);
                t.node.heardUs = now;
                quickestUs = Math.min(quickestUs, Math.max(1, o.latencyUs() - r.transferUs));
                if (!r.serviceClass.write() && t.node.role == Role.EDGE) {
                    copies.record(r.key, t.node);
                }
            }
            case CONNECT_FAILED -> {
                // Guards a good cache whose table of connections is full: it answers on those it has.
                failed(t.node, now, now - t.node.heardUs > settings.connectTimeoutUs(), t.trial);
                t.node.unreached = true;
            }
            case REJECTED, MISS -> quickestUs = Math.min(quickestUs, Math.max(1, o.latencyUs()));
            case RESET -> {
                // Guards good servers: a connection that breaks ends all that is out on it: one failure.
                if (t.sentUs > t.node.brokenUs || t.trial) {
                    t.node.brokenUs = now;
                    failed(t.node, now, false, t.trial);
                }
            }
            default -> {
                if (!source && !r.silent) {
                    failed(t.node, now, false, t.trial);
                }
                if (o.status() == AttemptStatus.ERROR && o.cacheStatus() == CacheStatus.NONE && !t.trial) {
                    r.errors.add(t.node);
                    if (r.errors.size() == ERRORS) {
                        r.errors.forEach(n -> takeBackFailure(n, now));
                    }
                }
            }
        }
        if (o.status() == AttemptStatus.MISS) {
            copies.forgetObject(r.key);
        }
        if ((source || o.status() == AttemptStatus.MISS) && t.source != t.node && !(r.onlyIfCached && r.asking)) {
            r.failed.add(t.source);
        }
        if (o.status() == AttemptStatus.TIMEOUT
                || o.status() != AttemptStatus.OK && o.status() != AttemptStatus.MISS && !source) {
            r.failed.add(t.node);
        }
    }

    @Override
    public void streamStarted(long now, String request, int attempt) {
        over(live.get(request), false);
    }

    /** Calls off what is out for a client that has left: its work helps nobody, and holds places. */
    @Override
    public void clientDisconnected(long now, String request) {
        over(live.get(request), true);
    }

    private void over(RequestState r, boolean cancel) {
        if (r != null) {
            r.over = true;
            if (cancel) {
                cancelAll(r);
            }
            forget(r);
        }
    }

    private void forget(RequestState r) {
        if (r.over && r.out == 0) {
            live.remove(r.request.id());
        }
    }

    /** Sends the next attempt, or gives the final answer at once. */
    private void attempt(RequestState r, long now) {
        TerminationReason why = r.request.deadlineUs() - now <= r.transferUs / 2
                ? TerminationReason.DEADLINE_TOO_CLOSE
                : r.tries.size() >= settings.permissions().maxAttempts()
                        ? TerminationReason.ATTEMPTS_EXHAUSTED
                        : !mayResend(r, now) ? TerminationReason.MAY_HAVE_EXECUTED : null;
        if (why != null) {
            giveUp(r, why);
            return;
        }
        boolean direct = settings.permissions().directToParents();
        boolean originUp = origin != null && origin.state == EndpointState.UP;
        r.onlyIfCached = originShare(now) < 1 && !r.asking && !r.serviceClass.write();
        Endpoint source = r.serviceClass.write() ? (originUp ? origin : null) : source(r, now);
        Endpoint node = !r.serviceClass.write() || !direct
                ? edge(r, now)
                : originUp && !r.failed.contains(origin) ? origin : source(r, now);
        boolean past = direct && !r.onlyIfCached && !r.serviceClass.write() && !r.crowded;
        if (node == null && past && source != null && mayFill(r)) {
            node = source;
            source = origin;
        }
        if (node == null) {
            giveUp(r, TerminationReason.NO_ENDPOINT_AVAILABLE);
            return;
        }
        boolean toEdge = node.role == Role.EDGE && !r.serviceClass.write();
        boolean known = toEdge && !r.onlyIfCached && copies.holds(node, r.key);
        boolean fill = source != null && !r.serviceClass.write() && !known;
        boolean noFill = source == null || fill && !mayFill(r);
        if (toEdge && (noFill || fill && r.onlyIfCached)) {
            if (r.looked && noFill) {
                giveUp(r, TerminationReason.FILL_NOT_ALLOWED);
                return;
            }
            r.looked = true;
            r.staleAllowed = true;
        }
        fill &= !(toEdge && noFill);
        source = source == null || toEdge && noFill ? node : source;
        send(r, node, source, fill && r.onlyIfCached, fill && !r.onlyIfCached, now);
    }

    /**
     * Guards the origin when it is slow or turns calls away: while calls go badly, or wait so long that those
     * behind them will, the share of misses that may make one is cut; it doubles with time and with each call
     * served well. The rest takes what parents hold; writes go on.
     */
    private void called(long now, boolean well) {
        share = well ? Math.min(1, share / SHARE_CUT) : share;
        double window = windowUs / 2;
        double calls = asked.add(now, 1, window);
        double good = served.add(now, well ? 1 : 0, window);
        double doubt = originShare(now) < 1 ? 0 : 1 / window;
        if (!well && calls - doubt > SHORT * good) {
            share = Math.max(SHARE_LEAST, originShare(now) * SHARE_CUT);
            shareAtUs = now;
            asked.clear();
            served.clear();
            log.log(now, "origin short: asked for the misses of one in " + Math.round(1 / share));
        }
    }

    /** Part of the misses that may call the origin; doubles in half the longest wait. */
    private double originShare(long now) {
        return share >= 1 ? 1 : Math.min(1, share * Math.pow(2, 2 * (now - shareAtUs) / windowUs));
    }

    private void send(RequestState r, Endpoint node, Endpoint source, boolean held, boolean fill, long now) {
        boolean trial = node.ejected || source.ejected;
        if (!settings.permissions().hedging()) {
            cancelAll(r);
        }
        node.trialOut |= node.ejected;
        source.trialOut |= source.ejected;
        int rank = r.serviceClass.write() || node.role != Role.EDGE ? 0 : popularity.isRepeated(r.key) ? 2 : 1;
        boolean purged = purges.isRecentlyPurged(r.request, now);
        AttemptState t = new AttemptState(node, source, now, r.transferUs, trial, fill);
        r.tries.add(t);
        r.out++;
        node.outWorkUs += r.transferUs;
        node.limit.out++;
        fills.out += fill ? 1 : 0;
        node.sent.add(now, r.transferUs, windowUs);
        charge(node, transferTimes.classMeanUs(r.classIndex), now);
        if (source != node) {
            charge(source, r.transferUs, now);
        }
        boolean join = settings.permissions().coalescing() && !purged && !r.serviceClass.write();
        boolean renew = r.serviceClass.freshnessUs() > 0 && !purged;
        long leftUs = Math.max(1, r.request.deadlineUs() - now);
        AttemptPlan order =
                new AttemptPlan(node.id, source.id, rank, purges.maxAgeUs(r, now), join, held, renew, leftUs);
        actions.send(r.request.id(), order);
        listen(r, t, now);
    }

    /** Whether the class allows a retry; a keyed one has to arrive inside its window, connecting included. */
    private boolean mayResend(RequestState r, long now) {
        return !r.mayHaveRun
                || r.serviceClass.idempotency() == Idempotency.IDEMPOTENT
                || r.serviceClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && r.serviceClass.idempotencyScope() == IdempotencyScope.ALL
                        && now + settings.connectTimeoutUs() - r.firstRunUs < r.serviceClass.idempotencyWindowUs();
    }

    /** The final answer, at once: a refusal with advice where a further try is harmless, else a failure. */
    private void giveUp(RequestState r, TerminationReason why) {
        if (r.out > 0) {
            return;
        }
        r.over = true;
        actions.terminated(r.request.id(), why);
        if (!r.mayHaveRun || r.serviceClass.idempotency() == Idempotency.IDEMPOTENT) {
            long wait =
                    settings.permissions().retryAfter() ? settings.permissions().maxRetryAfterUs() : 0;
            actions.reject(r.request.id(), wait);
        } else {
            actions.fail(r.request.id());
        }
        forget(r);
    }
}
