package petrelplank.analysis;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import petrelplank.emulator.BundledScenarios;
import petrelplank.record.Event;

/**
 * Every figure of the report against the emulator's truth, and every finding against the trouble that was caused.
 * {@code -Dseeds=10} plays each scenario with more seeds than CI does and prints the confusion matrix.
 */
class TruthTest {
    private static final int SEEDS = Integer.getInteger("seeds", 1);
    private static final int FIRST = Integer.getInteger("first", 1);
    private static final int CALM = Integer.getInteger("calm", 2);
    private static final Set<String> NO_FIGURES = Set.of("scenario", "seed", "troubles", "twice", "lives");
    /** What a trouble may bring with it, and which is no mistake to name. */
    private static final Map<String, Set<String>> ALLOWED =
            Map.of("outside-load", Set.of("slow-stock"), "purge", Set.of("slow-stock"), "crowded-link", Set.of());

    private static void same(String path, Object truth, Object told, List<String> differ) {
        if (truth instanceof Map<?, ?> map) {
            // Nothing may be told that is not in the truth, but for what the whole report says of itself.
            if (!path.isEmpty() && told instanceof Map<?, ?> t && !map.keySet().containsAll(t.keySet())) {
                differ.add(path + " has " + t.keySet() + ", not " + map.keySet());
            }
            for (Map.Entry<?, ?> e : map.entrySet()) {
                if (!NO_FIGURES.contains(e.getKey())) {
                    same(
                            path + "/" + e.getKey(),
                            e.getValue(),
                            told instanceof Map<?, ?> t ? t.get(e.getKey()) : null,
                            differ);
                }
            }
        } else if (told == null) {
            differ.add(path + " is missing");
        } else if (truth instanceof Double d) {
            if (Math.abs(d - ((Number) told).doubleValue()) > 0.01 * Math.abs(d)) {
                differ.add(path + ": " + d + ", told " + told);
            }
        } else if (((Number) truth).longValue() != ((Number) told).longValue()) {
            differ.add(path + ": " + truth + ", told " + told);
        }
    }

    /** Each life: whose, from when, and whether it ended in order. */
    private static List<String> lives(Object tree, String inOrder) {
        return ((List<?>) tree)
                .stream()
                        .map(l -> (Map<?, ?>) l)
                        .map(l -> l.get("front") + " " + l.get("startedUs") + " "
                                + l.get("end").equals(inOrder))
                        .sorted()
                        .toList();
    }

    private static String name(Finding f) {
        return f.kind().label();
    }

    private static boolean names(String trouble, Finding f, List<?> servers) {
        String kind = name(f);
        return (trouble.equals("silent") ? kind.startsWith("silent-") : kind.equals(trouble))
                && (f.servers().isEmpty() && servers.isEmpty()
                        || f.servers().stream().anyMatch(servers::contains)
                        || trouble.endsWith("stock"));
    }

    @SuppressWarnings("unchecked")
    private static List<String> findings(Emulated e, List<Finding> found, Map<String, Integer> matrix) {
        List<String> wrong = new ArrayList<>();
        Set<Finding> right = new HashSet<>();
        Set<String> allowed = new TreeSet<>();
        for (Map<String, Object> t : (List<Map<String, Object>>) e.truth().get("troubles")) {
            String kind = (String) t.get("kind");
            List<String> servers = (List<String>) t.get("servers");
            long from = (Long) t.get("fromUs");
            long to = (Long) t.get("toUs");
            allowed.addAll(ALLOWED.getOrDefault(kind, Set.of()));
            if (kind.equals("outside-load")) {
                continue;
            }
            List<Finding> named =
                    found.stream().filter(f -> names(kind, f, servers)).toList();
            matrix.merge(kind + " -> " + (named.isEmpty() ? "nothing" : name(named.get(0))), 1, Integer::sum);
            right.addAll(named);
            if (named.size() != Math.max(1, kind.equals("restart") ? servers.size() : 1)) {
                wrong.add(kind + " " + servers + ": named " + named.size() + " times");
            }
            for (Finding f : named) {
                long off = Math.max(Math.abs(f.fromUs() - from), Math.abs(f.toUs() - to));
                matrix.merge("times within 1 s", off > 1_000_000 ? 0 : 1, Integer::sum);
                if (off > 1_000_000) {
                    matrix.merge(kind + " more than 1 s off", 1, Integer::sum);
                }
                // Where trials at a silent server are far apart, the records can't tell its end any better.
                if (off > Math.max(1_000_000, f.slackUs() + 50_000)) {
                    wrong.add(kind + " " + servers + ": off by " + (f.fromUs() - from) / 1000 + " and "
                            + (f.toUs() - to) / 1000 + " ms");
                }
            }
        }
        for (Finding f : found) {
            if (!right.contains(f)) {
                boolean fine = allowed.contains(name(f));
                matrix.merge("nothing -> " + name(f) + (fine ? " (brought by another)" : ""), 1, Integer::sum);
                if (!fine) {
                    wrong.add("not caused: " + f);
                }
            }
        }
        return wrong;
    }

    private static List<String> play(String scenario, long seed, Map<String, Integer> matrix) throws IOException {
        Emulated e = Emulated.of(scenario, seed);
        IncidentTimeline course = Emulated.course(e.entries());
        List<String> wrong = new ArrayList<>();
        same("", e.truth(), TimelineJson.of(course), wrong);
        if (!lives(e.truth().get("lives"), "finished")
                .equals(lives(TimelineJson.of(course).get("lives"), "finished"))) {
            wrong.add("lives: " + TimelineJson.of(course).get("lives"));
        }
        if ((Long) e.truth().get("twice") != 0) {
            wrong.add("a stock-move ran twice");
        }
        if (course.lateSends() + course.staleResponses() + course.duplicateResponses() + course.unknown() != 0) {
            wrong.add("late " + course.lateSends() + ", " + course.staleResponses() + ", surplus "
                    + course.duplicateResponses());
        }
        // Refused and failed, the router said why; the front's own limits turned nobody away in these.
        long why =
                course.terminationReasons().values().stream().mapToLong(n -> n).sum();
        if (why
                        != course.total().count(Event.ResponseKind.REJECTED)
                                + course.total().count(Event.ResponseKind.FAILED)
                || !course.rejectedBeforeRouting().isEmpty()) {
            wrong.add("reasons for " + why + " requests: " + course.terminationReasons()
                    + course.rejectedBeforeRouting());
        }
        wrong.addAll(findings(e, Diagnosis.of(course), matrix));
        return wrong.stream().map(w -> scenario + " seed " + seed + ": " + w).toList();
    }

    @Test
    void everyFigureIsTheTruthAndEveryTroubleIsNamed() throws IOException {
        List<String> wrong = new ArrayList<>();
        Map<String, Integer> matrix = new TreeMap<>();
        for (String scenario : BundledScenarios.incidents()) {
            for (int seed = FIRST; seed < FIRST + (scenario.equals("calm") ? CALM : SEEDS); seed++) {
                wrong.addAll(play(scenario, seed, matrix));
            }
        }
        if (SEEDS > 1) {
            System.out.println(String.join("\n", wrong) + "\n" + matrix);
        }
        assertEquals(List.of(), wrong);
        assertTrue(matrix.size() > 5);
    }
}
