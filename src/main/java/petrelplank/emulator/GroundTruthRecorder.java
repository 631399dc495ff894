package petrelplank.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongToIntFunction;
import org.HdrHistogram.Histogram;
import petrelplank.proxy.Attempt;
import petrelplank.proxy.ClientResponse;
import petrelplank.proxy.DiscoveryEvent;
import petrelplank.proxy.UpstreamResponse;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;
import petrelplank.routing.EndpointState;
import petrelplank.routing.ServiceClass;

/**
 * What happened, as the emulator saw it at the clients' and the servers' ends of the sockets. It knows nothing of
 * records and shares no code with the report, whose figures are held against it.
 */
final class GroundTruthRecorder {
    /** Sums of requests. */
    private static final class Sums {
        private long asked;
        private final Map<ClientResponse.Kind, Long> kinds = new HashMap<>();
        private long inTime;
        private double worthAsked;
        private double worthEarned;

        Map<String, Object> tree() {
            Map<String, Object> t = new LinkedHashMap<>();
            t.put("asked", asked);
            for (ClientResponse.Kind k : ClientResponse.Kind.values()) {
                if (k != ClientResponse.Kind.BAD_REQUEST) {
                    t.put(k.label(), kinds.getOrDefault(k, 0L));
                }
            }
            t.put("inTime", inTime);
            t.put("worthAsked", worthAsked);
            t.put("worthEarned", worthEarned);
            return t;
        }
    }

    /** The key of a count of ends. */
    private static String key(AttemptStatus status) {
        return switch (status) {
            case OK -> "ok";
            case ERROR -> "error";
            case REJECTED -> "full";
            case MISS -> "miss";
            case RESET -> "reset";
            case CONNECT_FAILED -> "connect_failed";
            case TIMEOUT, CANCELLED, NOT_SENT -> throw new IllegalArgumentException(status + " is not counted");
        };
    }

    /** Sums of one server. */
    private static final class Peer {
        private long sent;
        private long withdrawn;
        private final Map<AttemptStatus, Long> ends = new TreeMap<>();
        private final Histogram answeredUs = new Histogram(3);

        Map<String, Object> tree() {
            Map<String, Object> t = new LinkedHashMap<>();
            t.put("sent", sent);
            t.put("withdrawn", withdrawn);
            for (AttemptStatus s : List.of(
                    AttemptStatus.OK,
                    AttemptStatus.ERROR,
                    AttemptStatus.REJECTED,
                    AttemptStatus.MISS,
                    AttemptStatus.RESET,
                    AttemptStatus.CONNECT_FAILED)) {
                t.put(key(s), ends.getOrDefault(s, 0L));
            }
            t.put("p50Ms", answeredUs.getValueAtPercentile(50) / 1000.0);
            t.put("p99Ms", answeredUs.getValueAtPercentile(99) / 1000.0);
            return t;
        }
    }

    private final Map<Long, Sums> seconds = new TreeMap<>();
    private final Map<String, Sums> classes = new TreeMap<>();
    private final Map<String, Sums> branches = new TreeMap<>();
    private final Sums total = new Sums();
    private final Map<String, Peer> peers = new TreeMap<>();
    private final Map<Long, long[]> central = new TreeMap<>();
    private final Map<Long, List<Long>> purges = new TreeMap<>();
    private final Map<String, List<Long>> drains = new TreeMap<>();
    private final List<Map<String, Object>> lives = new ArrayList<>();
    private final List<Map<String, Object>> troubles = new ArrayList<>();
    private final Map<EmulatedProxy, Map<String, Object>> life = new HashMap<>();
    private final Map<EmulatedProxy, Map<String, Long>> drainTold = new HashMap<>();
    private final Map<EmulatedProxy, Long> open = new HashMap<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<EmulatedProxy, Map<DiscoveryEvent.Purge, Long>> purgeTold = new HashMap<>();
    private LongToIntFunction groupOf = object -> -1;
    private long lateSends;
    private long latePurge;
    private long unanswered;

    void started(EmulatedProxy front) {
        Map<String, Object> t = new LinkedHashMap<>();
        t.put("front", front.name);
        t.put("startedUs", front.clockUs());
        t.put("end", "running");
        lives.add(t);
        life.put(front, t);
        drainTold.put(front, new HashMap<>());
        purgeTold.put(front, new LinkedHashMap<>());
    }

    void ended(EmulatedProxy front, boolean planned) {
        life.get(front).put("end", planned ? "finished" : "killed");
        life.get(front).put("endedUs", front.clockUs());
        unanswered += open.getOrDefault(front, 0L);
    }

    private List<Sums> sums(EmulatedProxy front, String type) {
        return List.of(
                total,
                seconds.computeIfAbsent(front.clockUs() / 1_000_000, s -> new Sums()),
                classes.computeIfAbsent(type, c -> new Sums()),
                branches.computeIfAbsent(front.branch, b -> new Sums()));
    }

    void asked(EmulatedProxy front, ServiceClass type) {
        open.merge(front, 1L, Long::sum);
        for (Sums s : sums(front, type.name())) {
            s.asked++;
            s.worthAsked += type.priorityWeight();
        }
    }

    void answered(EmulatedProxy front, Catalogue.Item item, long bytes, ClientResponse answer, long tookUs) {
        open.merge(front, -1L, Long::sum);
        ServiceClass c = item.type();
        boolean good = answer.kind() == ClientResponse.Kind.SERVED || answer.kind() == ClientResponse.Kind.NOT_MODIFIED;
        double sending = bytes / (Catalogue.FLOW_KB_PER_S * 1024) * 1e6;
        boolean inTime =
                good && tookUs <= Math.min(c.deadlineUs(), c.latencyObjectiveUs() + c.objectiveSizeFactor() * sending);
        for (Sums s : sums(front, c.name())) {
            s.kinds.merge(answer.kind(), 1L, Long::sum);
            s.inTime += inTime ? 1 : 0;
            s.worthEarned += good ? c.priorityWeight() * (inTime ? 1 : c.lateWeightFactor()) : 0;
        }
    }

    private Peer peer(String server) {
        return peers.computeIfAbsent(server, s -> new Peer());
    }

    void sent(EmulatedProxy front, Attempt attempt) {
        peer(attempt.server()).sent++;
        Map<String, Long> told = drainTold.get(front);
        String source = attempt.request().source();
        for (String server : source == null ? List.of(attempt.server()) : List.of(attempt.server(), source)) {
            Long at = told.get(server);
            lateSends += at != null && front.clockUs() - at > Simulation.DRAIN_GRACE_US ? 1 : 0;
        }
    }

    void groups(LongToIntFunction of) {
        groupOf = of;
    }

    void ended(EmulatedProxy front, Attempt attempt, UpstreamResponse answer, long tookUs) {
        String server = attempt.server();
        if (answer.status() == AttemptStatus.OK && answer.bornMs() > 0) {
            long object = Long.parseUnsignedLong(attempt.request().object(), 16);
            long sentUs = front.clockUs() - tookUs;
            boolean late = false;
            for (Map.Entry<DiscoveryEvent.Purge, Long> p : purgeTold.get(front).entrySet()) {
                boolean meant = p.getKey().object() != null
                        ? p.getKey().object() == object
                        : p.getKey().group() == groupOf.applyAsInt(object);
                late |= meant
                        && answer.bornMs() < p.getKey().unixMs()
                        && sentUs > p.getValue() + Simulation.PURGE_GRACE_US;
            }
            latePurge += late ? 1 : 0;
        }
        Peer p = peer(server);
        p.ends.merge(answer.status(), 1L, Long::sum);
        p.answeredUs.recordValue(tookUs);
        boolean told = answer.cacheStatus() == CacheStatus.FILLED_FROM_ORIGIN
                || answer.cacheStatus() == CacheStatus.ORIGIN_FAILED
                || server.equals(Simulation.CENTRAL);
        if (told) {
            long[] calls = central.computeIfAbsent(front.clockUs() / 1_000_000, s -> new long[2]);
            calls[0]++;
            calls[1] += answer.status() == AttemptStatus.OK ? 0 : 1;
        }
    }

    void withdrawn(EmulatedProxy front, String server, long afterUs) {
        peer(server).withdrawn++;
    }

    void told(EmulatedProxy front, DiscoveryEvent event) {
        if (event instanceof DiscoveryEvent.Purge p) {
            purgeTold.get(front).put(p, front.clockUs());
            purges.computeIfAbsent(p.index(), i -> new ArrayList<>()).add(front.clockUs());
        } else if (event instanceof DiscoveryEvent.Change c) {
            for (DiscoveryEvent.Entry e : c.entries()) {
                if (e.member().state() == EndpointState.UP) {
                    drainTold.get(front).remove(e.member().id());
                } else if (drainTold.get(front).putIfAbsent(e.member().id(), front.clockUs()) == null) {
                    drains.computeIfAbsent(e.member().id(), i -> new ArrayList<>())
                            .add(front.clockUs());
                }
            }
        }
    }

    /** A write ran at the central stock. */
    void ran(String request) {
        runs.merge(request, 1, Integer::sum);
    }

    void trouble(String kind, List<String> servers, long fromUs, long toUs) {
        Map<String, Object> t = new LinkedHashMap<>();
        t.put("kind", kind);
        t.put("servers", servers);
        t.put("fromUs", fromUs);
        t.put("toUs", toUs);
        troubles.add(t);
    }

    void stopped(long fromUs, long toUs) {
        trouble("stock-stopped", List.of(Simulation.CENTRAL), fromUs, toUs);
    }

    private static Map<String, Object> trees(Map<?, Sums> sums) {
        Map<String, Object> t = new LinkedHashMap<>();
        sums.forEach((k, s) -> t.put(k.toString(), s.tree()));
        return t;
    }

    private static Map<String, Object> span(List<Long> times) {
        Map<String, Object> t = new LinkedHashMap<>();
        t.put("told", times.size());
        t.put("firstUs", times.stream().mapToLong(x -> x).min().orElse(0));
        t.put("lastUs", times.stream().mapToLong(x -> x).max().orElse(0));
        return t;
    }

    /** All figures, as a tree for JSON. */
    Map<String, Object> tree() {
        Map<String, Object> t = new LinkedHashMap<>();
        t.put("total", total.tree());
        t.put("seconds", trees(seconds));
        t.put("classes", trees(classes));
        t.put("branches", trees(branches));
        Map<String, Object> servers = new LinkedHashMap<>();
        peers.forEach((id, p) -> servers.put(id, p.tree()));
        t.put("servers", servers);
        Map<String, Object> calls = new LinkedHashMap<>();
        central.forEach((s, c) -> {
            // In order: a Map.of would name its keys in another order in another process.
            Map<String, Object> second = new LinkedHashMap<>();
            second.put("calls", c[0]);
            second.put("failed", c[1]);
            calls.put(s.toString(), second);
        });
        t.put("central", calls);
        Map<String, Object> purged = new LinkedHashMap<>();
        purges.forEach((i, times) -> purged.put(i.toString(), span(times)));
        t.put("purges", purged);
        Map<String, Object> drained = new LinkedHashMap<>();
        drains.forEach((id, times) -> drained.put(id, span(times)));
        t.put("drains", drained);
        t.put("lives", lives);
        t.put("unanswered", unanswered);
        t.put("lateSends", lateSends);
        t.put("latePurge", latePurge);
        t.put("troubles", troubles);
        t.put("twice", runs.values().stream().filter(n -> n > 1).count());
        return t;
    }
}
