package petrelplank.analysis;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import petrelplank.record.ListedEndpoint;
import petrelplank.record.StoredNames;
import petrelplank.routing.EndpointState;

/** The fleet at a time, as the fronts that lived then had been told and believed. */
public final class FleetSnapshot {
    /**
     * A server at a time.
     *
     * @param id its id
     * @param zone where it stands
     * @param told fronts by the state that each had last been told of; none where no front had heard of it
     * @param outAt fronts that left it out
     * @param startedUs its late start, where it had one before then; else 0
     * @param troubles findings that it was in
     */
    public record At(
            String id,
            String zone,
            Map<EndpointState, Integer> told,
            List<String> outAt,
            long startedUs,
            List<Finding.Kind> troubles) {
        /**
         * The server as a tree for JSON.
         *
         * @return the tree
         */
        public Map<String, Object> tree() {
            Map<String, Object> t = new LinkedHashMap<>();
            t.put("zone", zone);
            told.forEach((state, fronts) -> t.put(StoredNames.jsonKey(StoredNames.of(state)), fronts));
            t.put("outAt", outAt);
            t.put("startedUs", startedUs);
            t.put("troubles", troubles.stream().map(Finding.Kind::label).toList());
            return t;
        }
    }

    private FleetSnapshot() {}

    /**
     * The servers at a time.
     *
     * @param course what is known
     * @param findings what went wrong
     * @param us Unix microseconds
     * @return by id
     */
    public static Map<String, At> at(IncidentTimeline course, List<Finding> findings, long us) {
        Map<String, At> all = new TreeMap<>();
        for (ListedEndpoint s : course.servers().values()) {
            Map<EndpointState, Integer> told = new TreeMap<>();
            TreeSet<String> out = new TreeSet<>();
            for (Incarnation life : course.lives()) {
                if (life.firstUs > us || life.lastUs < us) {
                    continue;
                }
                EndpointState last = null;
                for (Incarnation.Told t : life.told(s.id())) {
                    last = t.atUs() <= us ? t.state() : last;
                }
                if (last != null) {
                    told.merge(last, 1, Integer::sum);
                }
                if (out(life.health.get(s.id()), us)) {
                    out.add(life.front);
                }
            }
            List<Finding.Kind> troubles = findings.stream()
                    .filter(f -> f.servers().contains(s.id()) && f.fromUs() <= us && us <= f.toUs())
                    .map(Finding::kind)
                    .distinct()
                    .toList();
            all.put(
                    s.id(),
                    new At(
                            s.id(),
                            s.zone(),
                            told,
                            new ArrayList<>(out),
                            s.startedUs() > 0 && s.startedUs() <= us ? s.startedUs() : 0,
                            troubles));
        }
        return all;
    }

    /** Whether the last that was noted of it by then is that it was left out. */
    private static boolean out(LongTable health, long us) {
        boolean out = false;
        if (health != null) {
            for (long[] one : health.sorted()) {
                out = one[0] <= us ? one[1] == 1 : out;
            }
        }
        return out;
    }

    /**
     * The middle of the second that lost most worth.
     *
     * @param course what is known
     * @return Unix microseconds; 0 where nothing was asked
     */
    public static long worstUs(IncidentTimeline course) {
        long worst = 0;
        double most = -1;
        for (Map.Entry<Long, RequestTotals> s : course.seconds().entrySet()) {
            double lost = s.getValue().worthAsked() - s.getValue().worthEarned();
            if (s.getValue().asked() > 0 && lost > most) {
                most = lost;
                worst = s.getKey() * 1_000_000 + 500_000;
            }
        }
        return worst;
    }
}
