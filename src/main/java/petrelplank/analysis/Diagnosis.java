package petrelplank.analysis;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import petrelplank.record.Event;

/**
 * Names the troubles that the figures show, with the evidence. Each kind is looked for by itself; what a healthy day
 * shows now and then must stay under every threshold.
 */
public final class Diagnosis {
    private static final long S = 1_000_000;
    /** A server that was asked this often with no answer between two of its answers, for so long, was silent. */
    private static final int UNANSWERED = 3;

    private static final long SILENT_US = S;
    /** So many times the usual pause between its answers must have passed. */
    private static final int PAUSES = 8;
    /** Errors that belong together are not further apart. */
    private static final long ERRORS_APART_US = 4 * S;

    private static final int ERRORS = 5;
    private static final double ERROR_SHARE = 0.15;
    /** Purges of one moment, and the share of the groups that makes them wholesale. */
    private static final long MOMENT_MS = 1_000;

    private static final double WHOLESALE = 0.25;
    /** Share of a second's bytes that makes an object hot, and for how many seconds in a row. */
    private static final double HOT = 0.2;

    private static final int HOT_SECONDS = 3;
    /** The central stock is slow at this multiple of its usual time, for so many seconds. */
    private static final double SLOW = 2.5;

    private static final int SLOW_SECONDS = 3;
    private static final int QUICK_SECONDS = 2;
    /** Once slow, it is slow still at this multiple. */
    private static final double STILL_SLOW = 1.6;

    private static final int CALLS = 3;
    /** Calls that failed in a row, over so long, are a stop. */
    private static final int STOP_CALLS = 5;
    /** A call that failed after so many times the usual had waited, and broke off. */
    private static final int BROKE_OFF = 4;

    private static final long WAITED_US = 200_000;
    /** Transfers over those that fit, and a multiple of the usual. */
    private static final double CROWDED = 1.5;

    private static final double CROWDED_TIMES = 4;
    private static final int CROWDED_SECONDS = 3;

    private static final DateTimeFormatter CLOCK =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);

    private final IncidentTimeline course;
    private final List<Finding> found = new ArrayList<>();
    private final long endUs;

    private Diagnosis(IncidentTimeline course) {
        this.course = course;
        this.endUs = course.spanUs()[1];
    }

    /**
     * Looks for troubles.
     *
     * @param course the figures
     * @return findings, by time
     */
    public static List<Finding> of(IncidentTimeline course) {
        Diagnosis d = new Diagnosis(course);
        d.servers();
        d.purges();
        d.hot();
        d.stock();
        d.restarts();
        d.links();
        d.found.sort(Comparator.comparingLong(Finding::fromUs)
                .thenComparing(f -> f.kind())
                .thenComparing(f -> f.servers().toString()));
        return d.costed();
    }

    // ---- Servers ----

    private void servers() {
        for (Map.Entry<String, EndpointStatistics> e : course.peers().entrySet()) {
            if (!course.central(e.getKey())) {
                List<long[]> seen = e.getValue().seen.sorted();
                silent(e.getKey(), seen);
                errors(e.getKey(), seen);
            }
        }
    }

    /** Between one answer and the next it was asked again and again, and said nothing. */
    private void silent(String id, List<long[]> seen) {
        List<long[]> answers = new ArrayList<>();
        List<long[]> missing = new ArrayList<>();
        for (long[] one : seen) {
            (one[2] == EndpointStatistics.UNANSWERED ? missing : answers).add(one);
        }
        if (missing.size() < UNANSWERED) {
            return;
        }
        // By when they were known; an attempt asked before the silence may be answered late in it.
        answers.sort(Comparator.comparingLong(o -> o[1]));
        long usual = usualPause(answers);
        for (int i = 0; i <= answers.size(); i++) {
            long from = i == 0 ? course.spanUs()[0] : answers.get(i - 1)[1];
            // The first answer behind the gap to what was asked within it ends the silence before it was asked.
            long to = i == answers.size() ? endUs : Math.max(from, answers.get(i)[0]);
            if (to - from < Math.max(SILENT_US, PAUSES * usual)) {
                continue;
            }
            long begin = from;
            long last = to;
            List<long[]> within = missing.stream()
                    .filter(m -> m[0] >= begin - S && m[0] <= last)
                    .toList();
            if (within.size() >= UNANSWERED) {
                boolean hub = course.hub(id);
                long first = Math.max(from, within.get(0)[0]);
                // It ended between the last attempt that was not answered and the first that was.
                long tried = within.get(within.size() - 1)[0];
                long until = i == answers.size()
                        ? Math.max(first, within.get(within.size() - 1)[1])
                        : (Math.max(first, tried) + to) / 2;
                if (until - first < SILENT_US) {
                    continue;
                }
                found.add(new Finding(
                        hub ? Finding.Kind.SILENT_HUB : Finding.Kind.SILENT_CACHE,
                        List.of(id),
                        first,
                        until,
                        i == answers.size() ? 0 : to - until,
                        0,
                        evidence(
                                within.size() + " attempts at it or by way of it were not answered",
                                i == 0 ? "no answer before" : "its last answer came at " + clock(from),
                                i == answers.size()
                                        ? "no answer since"
                                        : "the last unanswered attempt was sent at " + clock(tried)
                                                + ", the next answered one at " + clock(to),
                                out(id, first, until))));
            }
        }
    }

    private static long usualPause(List<long[]> answers) {
        long[] pauses = new long[Math.max(0, answers.size() - 1)];
        for (int i = 0; i < pauses.length; i++) {
            pauses[i] = answers.get(i + 1)[1] - answers.get(i)[1];
        }
        Arrays.sort(pauses);
        return pauses.length == 0 ? 0 : pauses[pauses.length / 2];
    }

    private String out(String id, long from, long to) {
        Set<String> fronts = new TreeSet<>();
        for (Incarnation life : course.lives()) {
            LongTable health = life.health.get(id);
            for (int i = 0; health != null && i < health.size(); i++) {
                if (health.get(i, 1) == 1 && health.get(i, 0) >= from && health.get(i, 0) <= to + 2 * S) {
                    fronts.add(life.front);
                }
            }
        }
        return fronts.isEmpty() ? "no front left it out" : "left out by " + String.join(", ", fronts);
    }

    private void errors(String id, List<long[]> seen) {
        List<long[]> errors =
                seen.stream().filter(o -> o[2] == EndpointStatistics.ERROR).toList();
        int begin = 0;
        for (int i = 1; i <= errors.size(); i++) {
            if (i < errors.size() && errors.get(i)[0] - errors.get(i - 1)[0] <= ERRORS_APART_US) {
                continue;
            }
            long from = errors.get(begin)[0];
            long last = errors.get(i - 1)[1];
            long good = seen.stream()
                    .filter(o -> o[2] == EndpointStatistics.ALIVE && o[0] >= from && o[1] <= last)
                    .count();
            int count = i - begin;
            if (count >= ERRORS && count >= ERROR_SHARE * (count + good)) {
                long next = seen.stream()
                        .filter(o -> o[2] == EndpointStatistics.ALIVE && o[0] > last)
                        .mapToLong(o -> o[0])
                        .min()
                        .orElse(last);
                found.add(new Finding(
                        Finding.Kind.FAST_FAILURES,
                        List.of(id),
                        from,
                        (last + next) / 2,
                        (next - last) / 2,
                        0,
                        evidence(
                                count + " errors and " + good + " other answers meanwhile",
                                "the first error came at " + clock(from) + ", the last at " + clock(last),
                                out(id, from, last))));
            }
            begin = i;
        }
    }

    // ---- Purges, hot objects ----

    private void purges() {
        Map<Long, Event.Purged> all = new TreeMap<>();
        Set<Integer> groups = new HashSet<>();
        for (Incarnation life : course.lives()) {
            all.putAll(life.purges);
            for (int i = 0; i < life.copies.size(); i++) {
                groups.add((int) life.copies.get(i, 1));
            }
        }
        List<Event.Purged> wide = all.values().stream()
                .filter(p -> p.object() == null)
                .sorted(Comparator.comparingLong(Event.Purged::unixMs))
                .toList();
        wide.forEach(p -> groups.add(p.group()));
        for (int i = 0; i < wide.size(); ) {
            long at = wide.get(i).unixMs();
            Set<Integer> purged = new TreeSet<>();
            int next = i;
            while (next < wide.size() && wide.get(next).unixMs() - at <= MOMENT_MS) {
                purged.add(wide.get(next++).group());
            }
            if (purged.size() >= WHOLESALE * groups.size() && purged.size() > 1) {
                found.add(new Finding(
                        Finding.Kind.PURGE,
                        List.of(),
                        at * 1000,
                        at * 1000,
                        0,
                        0,
                        evidence(purged.size() + " of " + groups.size() + " groups purged within a second")));
            }
            i = next;
        }
    }

    private void hot() {
        Map<Long, Long> bytes = new HashMap<>();
        Map<Long, Long> perSecond = new TreeMap<>();
        course.lives().forEach(life -> {
            for (int i = 0; i < life.copies.size(); i++) {
                bytes.merge(life.copies.get(i, 0), life.copies.get(i, 5), Long::sum);
                perSecond.merge(life.copies.get(i, 4) / S, life.copies.get(i, 5), Long::sum);
            }
        });
        long all = bytes.values().stream().mapToLong(b -> b).sum();
        for (long object : bytes.keySet().stream()
                .sorted()
                .filter(o -> bytes.get(o) > 0.01 * all)
                .toList()) {
            Map<Long, Long> own = new TreeMap<>();
            TreeSet<Long> times = new TreeSet<>();
            course.lives().forEach(life -> {
                for (int i = 0; i < life.copies.size(); i++) {
                    if (life.copies.get(i, 0) == object) {
                        own.merge(life.copies.get(i, 4) / S, life.copies.get(i, 5), Long::sum);
                        times.add(life.copies.get(i, 2));
                    }
                }
            });
            List<Long> hot = perSecond.keySet().stream()
                    .filter(s -> own.getOrDefault(s, 0L) >= HOT * perSecond.get(s))
                    .toList();
            for (long[] run : runs(hot, 1, HOT_SECONDS)) {
                Long first = times.ceiling((run[0] - 1) * S);
                Long last = times.floor((run[1] + 2) * S);
                long sum = own.entrySet().stream()
                        .filter(e -> e.getKey() >= run[0] && e.getKey() <= run[1])
                        .mapToLong(Map.Entry::getValue)
                        .sum();
                long of = perSecond.entrySet().stream()
                        .filter(e -> e.getKey() >= run[0] && e.getKey() <= run[1])
                        .mapToLong(Map.Entry::getValue)
                        .sum();
                found.add(new Finding(
                        Finding.Kind.HOT_OBJECT,
                        List.of(),
                        first,
                        last,
                        0,
                        0,
                        evidence(String.format(
                                "object %016x drew %d%% of the bytes", object, Math.round(100.0 * sum / of)))));
            }
        }
    }

    /** Runs of seconds with no gap above {@code gap}, at least {@code least} long; first and last of each. */
    private static List<long[]> runs(List<Long> seconds, int gap, int least) {
        List<long[]> runs = new ArrayList<>();
        long[] run = null;
        for (long s : seconds) {
            if (run != null && s - run[1] <= gap + 1) {
                run[1] = s;
            } else {
                run = new long[] {s, s};
                runs.add(run);
            }
        }
        runs.removeIf(r -> r[1] - r[0] + 1 < least);
        return runs;
    }

    // ---- The central stock ----

    private void stock() {
        List<long[]> calls = new ArrayList<>();
        List<String> ids = new ArrayList<>();
        course.peers().forEach((id, p) -> {
            if (course.central(id)) {
                ids.add(id);
            }
            calls.addAll((course.central(id) ? p.answers : p.calls).sorted());
        });
        calls.sort(Comparator.comparing((long[] r) -> r, Arrays::compare));
        slow(ids, calls);
        stopped(ids, calls);
    }

    private void slow(List<String> ids, List<long[]> calls) {
        Map<Long, List<long[]>> bySecond = new TreeMap<>();
        calls.stream()
                .filter(c -> c[2] == 1)
                .forEach(c -> bySecond.computeIfAbsent(c[0] / S, s -> new ArrayList<>())
                        .add(c));
        Map<Long, Long> middle = new TreeMap<>();
        bySecond.forEach((second, all) -> {
            if (all.size() >= CALLS) {
                middle.put(
                        second,
                        percentile(all.stream().mapToLong(c -> c[1] - c[0]).toArray(), 0.5));
            }
        });
        if (middle.size() < SLOW_SECONDS) {
            return;
        }
        long usual = percentile(middle.values().stream().mapToLong(m -> m).toArray(), 0.25);
        for (long[] run : slowRuns(middle, (long) (SLOW * usual), (long) (STILL_SLOW * usual))) {
            List<long[]> late = calls.stream()
                    .filter(c -> c[2] == 1
                            && c[1] - c[0] > SLOW * usual
                            && c[0] >= (run[0] - 1) * S
                            && c[0] < (run[1] + 1) * S)
                    .toList();
            long most = run[0];
            for (long s = run[0]; s <= run[1]; s++) {
                most = middle.getOrDefault(s, 0L) > middle.getOrDefault(most, 0L) ? s : most;
            }
            found.add(new Finding(
                    Finding.Kind.SLOW_STOCK,
                    ids,
                    late.get(0)[0],
                    late.get(late.size() - 1)[0],
                    0,
                    0,
                    evidence(String.format(
                            "calls took %.0f ms in the middle, up to %.0f ms in a second; usually %.0f ms",
                            percentile(late.stream().mapToLong(c -> c[1] - c[0]).toArray(), 0.5) / 1e3,
                            middle.get(most) / 1e3,
                            usual / 1e3))));
        }
    }

    /**
     * Slow seconds that belong together. Where fronts spare the stock it is slow without a queue, hardly above what
     * begins a run: less keeps one going, seconds with too few calls don't end it, two quick ones in a row do.
     */
    private static List<long[]> slowRuns(Map<Long, Long> middle, long above, long still) {
        List<long[]> runs = new ArrayList<>();
        long[] run = null;
        int well = 0;
        for (Map.Entry<Long, Long> e : middle.entrySet()) {
            if (e.getValue() <= (run == null ? above : still)) {
                run = ++well >= QUICK_SECONDS ? null : run;
            } else {
                well = 0;
                if (run == null) {
                    run = new long[] {e.getKey(), e.getKey()};
                    runs.add(run);
                }
                run[1] = e.getKey();
            }
        }
        runs.removeIf(r -> r[1] - r[0] + 1 < SLOW_SECONDS);
        return runs;
    }

    private static long percentile(long[] values, double part) {
        Arrays.sort(values);
        return values[(int) Math.min(values.length - 1, part * values.length)];
    }

    private void stopped(List<String> ids, List<long[]> calls) {
        List<long[]> known = new ArrayList<>(calls);
        known.sort(Comparator.comparingLong((long[] c) -> c[1]).thenComparingLong(c -> c[0]));
        int begin = 0;
        for (int i = 0; i <= known.size(); i++) {
            if (i < known.size() && known.get(i)[2] != 1) {
                continue;
            }
            List<long[]> failed = known.subList(begin, i);
            begin = i + 1;
            if (failed.size() < STOP_CALLS) {
                continue;
            }
            long from = brokeOff(failed);
            long last = failed.get(failed.size() - 1)[0];
            long to = i == known.size()
                    ? failed.get(failed.size() - 1)[1]
                    : (Math.max(from, last) + Math.max(from, known.get(i)[0])) / 2;
            if (to - from >= SILENT_US) {
                found.add(new Finding(
                        Finding.Kind.STOCK_STOPPED,
                        ids,
                        from,
                        to,
                        i == known.size() ? 0 : Math.max(0, to - last),
                        0,
                        evidence(
                                failed.size() + " calls in a row failed",
                                i == known.size()
                                        ? "none went well since"
                                        : "the last of them was " + "made at " + clock(last)
                                                + ", the next that went well at " + clock(known.get(i)[0]))));
            }
        }
    }

    /**
     * When the stock stopped, of calls that failed in a row: while it is only crowded, calls are turned away at once;
     * where some that had waited break off, that is the moment, else the first failure.
     */
    private static long brokeOff(List<long[]> failed) {
        long middle = percentile(failed.stream().mapToLong(c -> c[1] - c[0]).toArray(), 0.5);
        return failed.stream()
                .filter(c -> c[1] - c[0] > BROKE_OFF * middle && c[1] - c[0] > WAITED_US)
                .mapToLong(c -> c[1])
                .findFirst()
                .orElse(failed.get(0)[1]);
    }

    // ---- Fronts and links ----

    private void restarts() {
        Incarnation before = null;
        for (Incarnation life : course.lives()) {
            if (before != null && before.front.equals(life.front) && life.started != null) {
                found.add(new Finding(
                        Finding.Kind.RESTART,
                        List.of(life.front),
                        before.lastUs,
                        life.startedUs,
                        0,
                        0,
                        evidence(
                                "the life before ended at " + clock(before.lastUs) + " ("
                                        + (before.finished ? "as planned" : "no last record: killed or cut off") + ")",
                                "a new life began at " + clock(life.startedUs))));
            }
            before = life;
        }
    }

    private void links() {
        Map<String, Map<Long, Long>> use = new TreeMap<>();
        for (Incarnation life : course.lives()) {
            int at = life.started == null ? -1 : life.started.reportFields().indexOf("x1");
            if (at >= 0) {
                life.loads.forEach((s, most) -> {
                    if (at < most.length) {
                        use.computeIfAbsent(life.branch(), b -> new TreeMap<>()).merge(s, most[at], Math::max);
                    }
                });
            }
        }
        use.forEach((branch, seconds) -> {
            long usual = percentile(seconds.values().stream().mapToLong(u -> u).toArray(), 0.25);
            List<Long> crowded = seconds.keySet().stream()
                    .filter(s -> seconds.get(s) > CROWDED * 1e6 && seconds.get(s) > CROWDED_TIMES * usual)
                    .toList();
            for (long[] run : runs(crowded, 1, CROWDED_SECONDS)) {
                long most = seconds.entrySet().stream()
                        .filter(e -> e.getKey() >= run[0] && e.getKey() <= run[1])
                        .mapToLong(Map.Entry::getValue)
                        .max()
                        .orElse(0);
                found.add(new Finding(
                        Finding.Kind.CROWDED_LINK,
                        List.of(branch),
                        run[0] * S,
                        (run[1] + 1) * S,
                        0,
                        0,
                        evidence(String.format(
                                "up to %.1f times the transfers that fit; usually %.2f", most / 1e6, usual / 1e6))));
            }
        });
    }

    // ---- What it cost ----

    private List<Finding> costed() {
        List<Finding> all = new ArrayList<>();
        long asked = 0;
        long lost = 0;
        for (Map.Entry<Long, RequestTotals> s : course.seconds().entrySet()) {
            if (found.stream().noneMatch(f -> s.getKey() >= f.fromUs() / S - 1 && s.getKey() <= f.toUs() / S + 2)) {
                asked += s.getValue().askedMicro;
                lost += s.getValue().askedMicro - s.getValue().earnedMicro;
            }
        }
        double usual = asked == 0 ? 0 : Math.max(0, (double) lost / asked);
        for (Finding f : found) {
            double cost = 0;
            for (Map.Entry<Long, RequestTotals> s : course.seconds().entrySet()) {
                if (s.getKey() >= f.fromUs() / S && s.getKey() <= f.toUs() / S + 1) {
                    cost += s.getValue().worthAsked() * (1 - usual)
                            - s.getValue().worthEarned();
                }
            }
            all.add(new Finding(
                    f.kind(),
                    f.servers(),
                    f.fromUs(),
                    f.toUs(),
                    f.slackUs(),
                    Math.max(0, Math.round(cost * 10) / 10.0),
                    f.evidence()));
        }
        return all;
    }

    private static List<String> evidence(String... lines) {
        return List.of(lines);
    }

    /**
     * A time of day in UTC, to the millisecond.
     *
     * @param us Unix microseconds
     * @return as in 12:00:09.250
     */
    public static String clock(long us) {
        return CLOCK.format(Instant.ofEpochMilli(us / 1000));
    }
}
