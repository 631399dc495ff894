package petrelplank.analysis;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import petrelplank.record.ListedEndpoint;
import petrelplank.record.ServiceClassInfo;
import petrelplank.routing.EndpointState;

/** The figures of a fold, worked out once from all that is known. */
public final class IncidentTimeline {
    private final RecordAggregator fold;
    private final Map<String, ServiceClassInfo> classes = new TreeMap<>();
    private final Map<String, ListedEndpoint> servers = new TreeMap<>();
    private final Map<Long, RequestTotals> seconds = new TreeMap<>();
    private final Map<String, RequestTotals> byClass = new TreeMap<>();
    private final Map<String, RequestTotals> byBranch = new TreeMap<>();
    private final Map<String, Map<Long, RequestTotals>> branchSeconds = new TreeMap<>();
    private final RequestTotals total = new RequestTotals();
    private final Map<Long, long[]> central = new TreeMap<>();
    private final List<Incarnation> lives;
    private String centralKind;
    private String hubKind;
    private long lateDrain;
    private long latePurge;
    private long unanswered;
    private long unknown;
    private long surplus;

    /**
     * Works the figures out.
     *
     * @param fold what is known
     */
    public IncidentTimeline(RecordAggregator fold) {
        this.fold = fold;
        this.lives = fold.lives().stream()
                .sorted(Comparator.comparing(Incarnation::front)
                        .thenComparingLong(l -> l.firstUs)
                        .thenComparingLong(l -> l.id))
                .toList();
        for (Incarnation life : lives) {
            if (life.started != null) {
                life.started.classes().forEach(c -> classes.put(c.name(), c));
                centralKind = life.started.originKind() == null ? centralKind : life.started.originKind();
                hubKind = life.started.parentKind() == null ? hubKind : life.started.parentKind();
            }
            servers.putAll(life.servers);
        }
        for (Incarnation life : lives) {
            sum(life);
            late(life);
            owed(life);
        }
        calls();
    }

    private void sum(Incarnation life) {
        Map<Long, RequestTotals> ofBranch = branchSeconds.computeIfAbsent(life.branch(), b -> new TreeMap<>());
        life.sums.forEach((second, types) -> types.forEach((type, s) -> {
            ServiceClassInfo known = classes.get(type);
            s.askedMicro = known == null ? 0 : s.asked * RequestTotals.micro(known.priorityWeight());
            total.add(s);
            seconds.computeIfAbsent(second, k -> new RequestTotals()).add(s);
            byClass.computeIfAbsent(type, k -> new RequestTotals()).add(s);
            byBranch.computeIfAbsent(life.branch(), k -> new RequestTotals()).add(s);
            ofBranch.computeIfAbsent(second, k -> new RequestTotals()).add(s);
        }));
    }

    /** Sends after a drain's time, and answers from copies older than a purge that was told in time. */
    private void late(Incarnation life) {
        if (life.started == null) {
            return;
        }
        life.told.keySet().forEach(server -> {
            List<Incarnation.Told> told = life.told(server);
            LongTable sends = life.sends.get(server);
            for (int i = 0; sends != null && i < sends.size(); i++) {
                long at = sends.get(i, 0);
                long sinceUs = Long.MAX_VALUE;
                for (Incarnation.Told t : told) {
                    if (t.atUs() <= at) {
                        sinceUs = t.state() == EndpointState.UP ? Long.MAX_VALUE : Math.min(sinceUs, t.atUs());
                    }
                }
                lateDrain += sinceUs != Long.MAX_VALUE && at - sinceUs > life.started.drainGraceUs() ? 1 : 0;
            }
        });
        Map<Long, List<Long>> ofObject = new HashMap<>();
        Map<Integer, List<Long>> ofGroup = new HashMap<>();
        life.purges.forEach((index, p) -> {
            if (p.object() != null) {
                ofObject.computeIfAbsent(p.object(), o -> new ArrayList<>()).add(index);
            } else {
                ofGroup.computeIfAbsent(p.group(), o -> new ArrayList<>()).add(index);
            }
        });
        for (int i = 0; i < life.copies.size(); i++) {
            long sent = life.copies.get(i, 2);
            long born = life.copies.get(i, 3);
            boolean late = older(life, ofObject.get(life.copies.get(i, 0)), sent, born)
                    || older(life, ofGroup.get((int) life.copies.get(i, 1)), sent, born);
            latePurge += late ? 1 : 0;
        }
    }

    private static boolean older(Incarnation life, List<Long> indexes, long sentUs, long bornMs) {
        return indexes != null
                && indexes.stream()
                        .anyMatch(i -> bornMs < life.purges.get(i).unixMs()
                                && sentUs > life.purgeToldUs.get(i) + life.started.purgeGraceUs());
    }

    /** What is missing is not known: only where all entries are there, an answer that is not there was not given. */
    private void owed(Incarnation life) {
        boolean whole = life.gaps().isEmpty();
        for (int balance : life.owed.values()) {
            if (balance < 0 && whole) {
                surplus -= balance;
            } else if (balance > 0 && whole) {
                unanswered += balance;
            } else {
                unknown += Math.abs(balance);
            }
        }
    }

    private void calls() {
        for (EndpointStatistics p : fold.peers().values()) {
            LongTable calls = central(p.id) ? p.answers : p.calls;
            for (int i = 0; i < calls.size(); i++) {
                long[] second = central.computeIfAbsent(calls.get(i, 1) / 1_000_000, s -> new long[2]);
                second[0]++;
                second[1] += calls.get(i, 2) == 1 ? 0 : 1;
            }
        }
    }

    boolean central(String server) {
        ListedEndpoint s = servers.get(server);
        return s != null && s.kind().equals(centralKind);
    }

    boolean hub(String server) {
        ListedEndpoint s = servers.get(server);
        return s != null && s.kind().equals(hubKind);
    }

    RecordAggregator fold() {
        return fold;
    }

    /** Entries counted, each once. */
    public long entries() {
        return fold.entries();
    }

    /** The lives, by front and time. */
    public List<Incarnation> lives() {
        return lives;
    }

    /** All requests. */
    public RequestTotals total() {
        return total;
    }

    /** Requests by Unix second. */
    public Map<Long, RequestTotals> seconds() {
        return seconds;
    }

    /** Requests by class. */
    public Map<String, RequestTotals> classes() {
        return byClass;
    }

    /** Requests by branch. */
    public Map<String, RequestTotals> branches() {
        return byBranch;
    }

    /** Requests by branch and Unix second. */
    public Map<String, Map<Long, RequestTotals>> branchSeconds() {
        return branchSeconds;
    }

    /** Calls of the central stock that fronts heard of, and those that failed, by Unix second. */
    public Map<Long, long[]> central() {
        return central;
    }

    /** The servers as last listed. */
    public Map<String, ListedEndpoint> servers() {
        return servers;
    }

    /** What was seen of servers. */
    public Map<String, EndpointStatistics> peers() {
        return fold.peers();
    }

    /** Sends to or by way of a server after the time that a drain leaves. */
    public long lateDrain() {
        return lateDrain;
    }

    /** Answers from a copy older than a purge told in time. */
    public long latePurge() {
        return latePurge;
    }

    /** Requests without a final answer, in lives of which every entry is there. */
    public long unanswered() {
        return unanswered;
    }

    /** Requests of which records are missing, so that nothing can be said of their answers. */
    public long unknown() {
        return unknown;
    }

    /** Final answers to what was not asked, or answered before. */
    public long surplus() {
        return surplus;
    }

    /** Unix seconds in which entries are missing: their figures are too small by an unknown amount. */
    public List<Long> incomplete() {
        return lives.stream()
                .flatMap(l -> l.gaps().stream())
                .flatMap(g -> java.util.stream.LongStream.rangeClosed(g.fromS(), g.toS())
                        .boxed())
                .distinct()
                .sorted()
                .toList();
    }

    /** The first and the last time in the records; both 0 where there are none. */
    public long[] spanUs() {
        return new long[] {
            lives.stream().mapToLong(l -> l.firstUs).min().orElse(0),
            lives.stream().mapToLong(l -> l.lastUs).max().orElse(0)
        };
    }

    /** Requests given up, by why the router said so. */
    public Map<String, Long> givenUp() {
        Map<String, Long> all = new TreeMap<>();
        lives.forEach(l -> l.givenUp.forEach(
                (why, n) -> all.merge(why.toLowerCase(java.util.Locale.ROOT).replace('_', '-'), n, Long::sum)));
        return all;
    }

    /** Requests that fronts turned away before the router saw them, by what they were told. */
    public Map<String, Long> turnedAway() {
        Map<String, Long> all = new TreeMap<>();
        lives.forEach(l -> l.turnedAway.forEach(
                (kind, n) -> all.merge(kind.toLowerCase(java.util.Locale.ROOT).replace('_', '-'), n, Long::sum)));
        return all;
    }

    /** Requests open at all fronts together, by Unix second; a front that wrote nothing then is left out. */
    public Map<Long, Long> open() {
        Map<Long, Long> all = new TreeMap<>();
        lives.forEach(l -> l.openAt.forEach((second, pulse) -> all.merge(second, pulse[0], Long::sum)));
        return all;
    }

    /** The longest that any front's event thread was late, by Unix second, in microseconds. */
    public Map<Long, Long> lateUs() {
        Map<Long, Long> all = new TreeMap<>();
        lives.forEach(l -> l.openAt.forEach((second, pulse) -> all.merge(second, pulse[3], Math::max)));
        return all;
    }

    private static Map<String, Object> trees(Map<?, RequestTotals> sums) {
        Map<String, Object> t = new LinkedHashMap<>();
        sums.forEach((k, s) -> t.put(k.toString(), s.tree()));
        return t;
    }

    /** When fronts were told of drains, by server. */
    public Map<String, List<Long>> drainsToldUs() {
        Map<String, List<Long>> drains = new TreeMap<>();
        for (Incarnation life : lives) {
            for (String server : life.told.keySet()) {
                long at = life.drainToldUs(server);
                if (at >= 0) {
                    drains.computeIfAbsent(server, s -> new ArrayList<>()).add(at);
                }
            }
        }
        return drains;
    }

    /** When fronts were told of purges, by the event's number. */
    public Map<Long, List<Long>> purgesToldUs() {
        Map<Long, List<Long>> purges = new TreeMap<>();
        lives.forEach(l -> l.purgeToldUs.forEach(
                (i, at) -> purges.computeIfAbsent(i, k -> new ArrayList<>()).add(at)));
        return purges;
    }

    private static Map<String, Object> span(List<Long> times) {
        Map<String, Object> t = new LinkedHashMap<>();
        t.put("told", times.size());
        t.put("firstUs", times.stream().mapToLong(x -> x).min().orElse(0));
        t.put("lastUs", times.stream().mapToLong(x -> x).max().orElse(0));
        return t;
    }

    /**
     * All figures, as a tree for JSON.
     *
     * @return the tree, in a fixed order
     */
    public Map<String, Object> tree() {
        Map<String, Object> t = new LinkedHashMap<>();
        t.put("total", total.tree());
        t.put("seconds", trees(seconds));
        t.put("classes", trees(byClass));
        t.put("branches", trees(byBranch));
        Map<String, Object> ofServers = new LinkedHashMap<>();
        fold.peers().forEach((id, p) -> {
            if (p.sent > 0) {
                ofServers.put(id, p.tree());
            }
        });
        t.put("servers", ofServers);
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
        purgesToldUs().forEach((i, times) -> purged.put(i.toString(), span(times)));
        t.put("purges", purged);
        Map<String, Object> drained = new LinkedHashMap<>();
        drainsToldUs().forEach((id, times) -> drained.put(id, span(times)));
        t.put("drains", drained);
        List<Map<String, Object>> all = new ArrayList<>();
        for (Incarnation life : lives) {
            Map<String, Object> l = new LinkedHashMap<>();
            l.put("front", life.front);
            l.put("startedUs", life.started == null ? null : life.startedUs);
            l.put("lastUs", life.lastUs);
            l.put("end", life.end());
            l.put(
                    "missing",
                    life.gaps().stream()
                            .mapToLong(g -> g.last() - g.first() + 1)
                            .sum());
            all.add(l);
        }
        t.put("lives", all);
        t.put("givenUp", givenUp());
        t.put("turnedAway", turnedAway());
        t.put("unanswered", unanswered);
        t.put("unknown", unknown);
        t.put("surplus", surplus);
        t.put("lateSends", lateDrain);
        t.put("latePurge", latePurge);
        t.put("incomplete", incomplete());
        t.put("entries", fold.entries());
        t.put("doubled", fold.doubled());
        return t;
    }
}
